"""Choice of VMs for the tasks of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._paces import PaceClass

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Resources, Vm

DATA_WAIT_FACTOR = 2.0
"""Multiple of its declared run time for which a task waits for the rack of its data, and a
rack-sensitive gang for a single rack; tasks run three times as long away from their data."""


@attrs.frozen
class Placement:
    """VMs chosen for tasks.

    Parameters
    ----------
    vms
        VM of each task, by task index.
    victims
        Attempts that have to be stopped first.
    cost_core_s
        Cost of stopping the victims, in core-seconds.
    lost_core_s
        Work that the victims lose now, and what restarting them takes, in core-seconds.
    awaited_vms
        VMs that have capacity for the tasks only once others there have ended by themselves.
    wait_s
        Expected time until the VMs have free capacity for all tasks, in seconds.
    """

    vms: dict[int, str]
    victims: tuple[Attempt, ...] = ()
    cost_core_s: float = 0.0
    lost_core_s: float = 0.0
    awaited_vms: frozenset[str] = frozenset()
    wait_s: float = 0.0

    @property
    def rank(self) -> tuple[bool, float]:
        """Sort key among placements; the lowest is the best.

        Stopped urgent tasks would preempt other tasks in turn, so placements that stop only less
        urgent tasks rank first.
        """
        return any(attempt.urgent for attempt in self.victims), self.cost_core_s


class TentativeCapacity:
    """Free capacity of VMs while a placement is computed.

    Parameters
    ----------
    vms
        VMs to choose from.
    measure
        Returns the initial free capacity of a VM.

    Attributes
    ----------
    free
        Free capacity by VM.
    placed
        Number of tasks placed so far, by VM.
    isolated
        VMs chosen for tasks that must run without other work.
    victims
        Attempts stopped so far, by their `id()`.
    """

    def __init__(self, vms: Iterable[Vm], measure: Callable[[Vm], Resources]) -> None:
        self.vms = {vm.vm_id: vm for vm in vms}
        self.free = {vm_id: measure(vm) for vm_id, vm in self.vms.items()}
        self.placed: dict[str, int] = {}
        self.isolated: set[str] = set()
        self.victims: dict[int, Attempt] = {}

    def allows_one_more(self, group: TaskGroup, vm: Vm) -> bool:
        """Return whether the limit per VM allows one more task of a group on a VM."""
        limit = group.step.per_vm_limit
        return not limit or vm.task_count(group.group_id) + self.placed.get(vm.vm_id, 0) < limit

    def place(self, group: TaskGroup, vm_id: str) -> None:
        """Place a task of a group on a VM."""
        self.free[vm_id] = self.free[vm_id].minus(group.task_resources)
        self.placed[vm_id] = self.placed.get(vm_id, 0) + 1

    def release(self, attempts: Iterable[Attempt]) -> None:
        """Free the capacity of attempts that are to be stopped."""
        for attempt in attempts:
            if id(attempt) in self.victims:
                continue
            self.victims[id(attempt)] = attempt
            if attempt.vm_id in self.free:
                self.free[attempt.vm_id] = self.free[attempt.vm_id].plus(attempt.resources)


def place_on_free_capacity(
    vms: Sequence[Vm], group: TaskGroup, indices: Sequence[int], now_s: float
) -> Placement | None:
    """Return VMs with free capacity for the tasks, for a gang for all tasks or none.

    A rack-sensitive gang is placed on one rack if any rack is large enough. Tasks that need a VM
    without other work come first.
    """
    indices = sorted(indices, key=lambda index: not group.needs_isolation(index, now_s))
    best: Placement | None = None
    for pool in find_pools(vms, group, now_s):
        capacity = TentativeCapacity(pool, lambda vm: vm.unclaimed_capacity())
        chosen: dict[int, str] = {}
        for index in indices:
            vm = _best_fit(capacity, group, index, now_s)
            if vm is None:
                if group.step.gang:
                    break
                continue
            capacity.place(group, vm.vm_id)
            if group.needs_isolation(index, now_s):
                capacity.isolated.add(vm.vm_id)
            chosen[index] = vm.vm_id
        if len(chosen) == len(indices):
            return Placement(chosen)
        if chosen and not group.step.gang and (best is None or len(chosen) > len(best.vms)):
            best = Placement(chosen)
    return best


def place_on_soonest_free(
    vms: Sequence[Vm],
    group: TaskGroup,
    indices: Sequence[int],
    now_s: float,
    remaining_s: Callable[[Attempt], float],
) -> Placement | None:
    """Return the VMs that have capacity for the tasks soonest if nothing else starts on them.

    Parameters
    ----------
    remaining_s
        Returns the expected remaining run time of an attempt, in seconds.
    """
    best: Placement | None = None
    for pool in find_pools(vms, group, now_s):
        capacity = TentativeCapacity(pool, lambda vm: vm.unclaimed_capacity())
        waits_s = {vm.vm_id: _wait_for_capacity_s(capacity, vm, group, remaining_s) for vm in pool}
        chosen: dict[int, str] = {}
        latest_wait_s = 0.0
        for index in indices:
            vm_waits_s = {
                vm_id: max(wait_s, group.refusal_pause_s(index, vm_id, now_s))
                for vm_id, wait_s in waits_s.items()
            }
            vm_id = min(vm_waits_s, key=lambda each: (vm_waits_s[each], each), default="")
            if not vm_id or math.isinf(vm_waits_s[vm_id]):
                break
            latest_wait_s = max(latest_wait_s, vm_waits_s[vm_id])
            chosen[index] = vm_id
            capacity.place(group, vm_id)
            waits_s[vm_id] = _wait_for_capacity_s(capacity, capacity.vms[vm_id], group, remaining_s)
        if len(chosen) == len(indices) and (best is None or latest_wait_s < best.wait_s):
            best = Placement(chosen, wait_s=latest_wait_s)
    return best


def find_pools(vms: Sequence[Vm], group: TaskGroup, now_s: float) -> list[list[Vm]]:
    """Return the sets of VMs to try, in order of preference."""
    step = group.step
    eligible = _eligible_vms(vms, group, now_s)
    data_local = [vm for vm in eligible if vm.description.rack == step.data_rack]
    waited_s = now_s - (now_s if group.ready_s is None else group.ready_s)
    if step.data_rack and any(
        group.task_resources.fits_in(vm.description.capacity) for vm in data_local
    ):
        waits_for_data_rack = waited_s < DATA_WAIT_FACTOR * step.estimate_s
        return [data_local] if waits_for_data_rack else [data_local, eligible]
    if not (step.rack_sensitive and step.gang and step.tasks > 1):
        return [eligible]
    large_enough = _large_racks(eligible, group)
    large_enough.sort(key=lambda rack: sum(vm.unclaimed_capacity().core_equivalents for vm in rack))
    if large_enough and waited_s < DATA_WAIT_FACTOR * step.estimate_s:
        return large_enough
    return [*large_enough, eligible]


def _eligible_vms(vms: Sequence[Vm], group: TaskGroup, now_s: float) -> list[Vm]:
    """Return the VMs for a group; quarantined ones only if it does not fit on the others.

    A gang ends with its slowest member, so very slow VMs are left out for it in the same way.
    """
    suitable = [vm for vm in vms if vm.accepts_tasks and has_label(vm, group)]
    healthy = [vm for vm in suitable if vm.is_healthy(now_s)]
    if len(healthy) < len(suitable):
        if group.step.gang:
            healthy_suffice = fits_when_empty(healthy, group)
        else:
            healthy_suffice = any(
                group.task_resources.fits_in(vm.description.capacity) for vm in healthy
            )
        suitable = healthy if healthy_suffice else suitable
    return _without_very_slow(suitable, group) if group.step.gang else suitable


def _without_very_slow(vms: list[Vm], group: TaskGroup) -> list[Vm]:
    """Return the VMs for a gang without very slow ones, if it fits on the others as well."""
    others = [vm for vm in vms if vm.pace_class < PaceClass.VERY_SLOW]
    if len(others) == len(vms) or not fits_when_empty(others, group):
        return vms
    needs_rack = group.step.rack_sensitive and group.step.tasks > 1
    if needs_rack and _large_racks(vms, group) and not _large_racks(others, group):
        return vms
    return others


def _large_racks(vms: Sequence[Vm], group: TaskGroup) -> list[list[Vm]]:
    """Return the VMs of each rack on which a gang would fit if the rack were empty."""
    racks: dict[str, list[Vm]] = {}
    for vm in vms:
        racks.setdefault(vm.description.rack, []).append(vm)
    return [rack for rack in racks.values() if fits_when_empty(rack, group)]


def fits_when_empty(vms: Sequence[Vm], group: TaskGroup) -> bool:
    capacity = TentativeCapacity(vms, lambda vm: vm.description.capacity)
    for _ in range(group.step.tasks):
        vm_id = next(
            (each for each, free in capacity.free.items() if group.task_resources.fits_in(free)),
            None,
        )
        if vm_id is None:
            return False
        capacity.place(group, vm_id)
    return True


def has_label(vm: Vm, group: TaskGroup) -> bool:
    return not group.step.label or group.step.label in vm.description.labels


def _best_fit(capacity: TentativeCapacity, group: TaskGroup, index: int, now_s: float) -> Vm | None:
    """Return the VM on which the task fits with the least capacity left over."""
    candidates = capacity.vms.values()
    if group.needs_isolation(index, now_s):
        candidates = _vms_without_other_work(capacity, group, now_s)
    elif capacity.isolated:
        candidates = [vm for vm in candidates if vm.vm_id not in capacity.isolated]
    fitting = [
        vm
        for vm in candidates
        if group.task_resources.fits_in(capacity.free[vm.vm_id])
        and capacity.allows_one_more(group, vm)
        and not group.refusal_pause_s(index, vm.vm_id, now_s)
    ]
    return min(
        fitting, key=lambda vm: vm_preference(capacity, group, index, vm, now_s), default=None
    )


def _vms_without_other_work(
    capacity: TentativeCapacity, group: TaskGroup, now_s: float
) -> list[Vm]:
    """Return the VMs for a task that may crash its worker.

    Suspects of one group, unless it is a gang, use one VM at a time; a crash then tells whether one
    of them is the cause.
    """
    vms = capacity.vms.values()
    if not group.step.gang:
        shared = [
            vm
            for vm in vms
            if vm.vm_id in capacity.isolated or vm.is_on_probation(group.group_id, now_s)
        ]
        if shared:
            return shared
    return [
        vm
        for vm in vms
        if vm.vm_id in capacity.isolated
        or (vm.unstable_until_s <= now_s and not (vm.attempts or vm.claims))
    ]


def vm_preference(
    capacity: TentativeCapacity, group: TaskGroup, index: int, vm: Vm, now_s: float
) -> tuple[bool, bool, bool, int, float, int, float, str]:
    """Return the sort key of a VM on which a task fits; the lowest is the best.

    The pace of a VM counts only for tasks that end, by class, so that it does not disturb packing
    among usual VMs.
    """
    remaining = capacity.free[vm.vm_id].minus(group.task_resources)
    suspect = group.is_suspect(index)
    return (
        not vm.is_healthy(now_s),
        suspect and vm.unstable_until_s > now_s,
        vm.vm_id in group.failed_vms.get(index, ()),
        0 if group.step.long_running else vm.pace_class,
        vm.work_at_stake_core_s(now_s) if suspect else 0.0,
        remaining.accelerators,
        remaining.core_equivalents,
        vm.vm_id,
    )


def _wait_for_capacity_s(
    capacity: TentativeCapacity, vm: Vm, group: TaskGroup, remaining_s: Callable[[Attempt], float]
) -> float:
    """Return in how many seconds one more task of a group fits on a VM; infinite if never."""
    if not capacity.allows_one_more(group, vm):
        return math.inf
    free = capacity.free[vm.vm_id]
    if group.task_resources.fits_in(free):
        return 0.0
    for end_s, attempt in sorted(
        ((remaining_s(attempt), attempt) for attempt in vm.attempts.values()),
        key=lambda pair: pair[0],
    ):
        free = free.plus(attempt.resources)
        if group.task_resources.fits_in(free):
            return end_s
    return math.inf

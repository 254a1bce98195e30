"""Choice of VMs for the tasks of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._vms import Need, Vm
    from briardeal_workflow.planning._work import Group

DATA_WAIT_FACTOR = 2.0
"""Multiple of its run time that a task waits for the rack of its data: elsewhere it takes three."""


@attrs.frozen
class Placement:
    """Where tasks go.

    Parameters
    ----------
    vms
        VM of each task, by index.
    victims
        Starts that have to be stopped first.
    cost
        What stopping them loses, in seconds times cores.
    """

    vms: dict[int, str]
    victims: tuple[Attempt, ...] = ()
    cost: float = 0.0

    @property
    def rank(self) -> tuple[bool, float]:
        """Where it stands among placements, the best first.

        Urgent work that is stopped would in turn stop others, so that less urgent work goes first.
        """
        return any(attempt.urgent for attempt in self.victims), self.cost


class Rooms:
    """Room of VMs while a placement is tried out.

    Parameters
    ----------
    vms
        The VMs to choose from.
    measure
        Returns the room of one.
    """

    def __init__(self, vms: Iterable[Vm], measure: Callable[[Vm], Need]) -> None:
        self.vms = {vm.vm_id: vm for vm in vms}
        self.rooms = {vm_id: measure(vm) for vm_id, vm in self.vms.items()}
        self.placed: dict[str, int] = {}
        self.victims: dict[int, Attempt] = {}

    def within_limit(self, group: Group, vm: Vm) -> bool:
        """Return whether a VM may take one more task of a group."""
        limit = group.step.per_vm_limit
        here = vm.count_of(group.group_id) + self.placed.get(vm.vm_id, 0)
        return not limit or here < limit

    def take(self, group: Group, vm_id: str) -> None:
        """Note that a task of a group goes to a VM."""
        self.rooms[vm_id] = self.rooms[vm_id].minus(group.need)
        self.placed[vm_id] = self.placed.get(vm_id, 0) + 1

    def free_up(self, attempts: Iterable[Attempt]) -> None:
        """Note that starts are stopped."""
        for attempt in attempts:
            if id(attempt) in self.victims:
                continue
            self.victims[id(attempt)] = attempt
            if attempt.vm_id in self.rooms:
                self.rooms[attempt.vm_id] = self.rooms[attempt.vm_id].plus(attempt.need)


def place_in_room(
    vms: Sequence[Vm], group: Group, indices: Sequence[int], now_s: float
) -> Placement | None:
    """Return VMs with room for the tasks; for a gang all or none.

    The VMs of a gang that is sensitive to racks are on one rack where any rack can hold it.
    """
    best: Placement | None = None
    for pool in find_pools(vms, group, now_s):
        rooms = Rooms(pool, lambda vm: vm.room())
        chosen: dict[int, str] = {}
        for index in indices:
            vm = _tightest(rooms, group, index, now_s)
            if vm is None:
                if group.step.gang:
                    break
                continue
            rooms.take(group, vm.vm_id)
            chosen[index] = vm.vm_id
        if len(chosen) == len(indices):
            return Placement(chosen)
        if chosen and not group.step.gang and (best is None or len(chosen) > len(best.vms)):
            best = Placement(chosen)
    return best


def place_on_soonest(
    vms: Sequence[Vm],
    group: Group,
    indices: Sequence[int],
    now_s: float,
    left_s: Callable[[Attempt], float],
) -> Placement | None:
    """Return the VMs that have room for tasks soonest when nothing else starts on them.

    Parameters
    ----------
    left_s
        Returns for how long a start will run on, in seconds.
    """
    best: tuple[float, Placement] | None = None
    for pool in find_pools(vms, group, now_s):
        rooms = Rooms(pool, lambda vm: vm.room())
        waits_s = {vm.vm_id: _time_to_room(rooms, vm, group, left_s) for vm in pool}
        chosen: dict[int, str] = {}
        last_s = 0.0
        for index in indices:
            vm_id = min(waits_s, key=lambda each: (waits_s[each], each), default="")
            if not vm_id or math.isinf(waits_s[vm_id]):
                break
            last_s = max(last_s, waits_s[vm_id])
            chosen[index] = vm_id
            rooms.take(group, vm_id)
            waits_s[vm_id] = _time_to_room(rooms, rooms.vms[vm_id], group, left_s)
        if len(chosen) == len(indices) and (best is None or last_s < best[0]):
            best = (last_s, Placement(chosen))
    return None if best is None else best[1]


def find_pools(vms: Sequence[Vm], group: Group, now_s: float) -> list[list[Vm]]:
    """Return the sets of VMs to try, the best first."""
    step = group.step
    suited = _trusted(vms, group, now_s)
    near = [vm for vm in suited if vm.shape.rack == step.data_rack]
    waited_s = now_s - (now_s if group.ready_s is None else group.ready_s)
    if step.data_rack and any(group.need.within(vm.shape.capacity) for vm in near):
        patient = waited_s < DATA_WAIT_FACTOR * step.estimate_s
        return [near] if patient else [near, suited]
    if not (step.rack_sensitive and step.gang and step.tasks > 1):
        return [suited]
    racks: dict[str, list[Vm]] = {}
    for vm in suited:
        racks.setdefault(vm.shape.rack, []).append(vm)
    able = [rack for rack in racks.values() if _holds_when_empty(rack, group)]
    able.sort(key=lambda rack: sum(vm.room().weight for vm in rack))
    if able and waited_s < DATA_WAIT_FACTOR * step.estimate_s:
        return able
    return [*able, suited]


def _trusted(vms: Sequence[Vm], group: Group, now_s: float) -> list[Vm]:
    """Return the VMs that may take a group; distrusted ones only where the others can't hold it."""
    suited = [vm for vm in vms if vm.open and _suits(vm, group)]
    trusted = [vm for vm in suited if vm.is_trusted(now_s)]
    if len(trusted) == len(suited):
        return suited
    if group.step.gang:
        able = _holds_when_empty(trusted, group)
    else:
        able = any(group.need.within(vm.shape.capacity) for vm in trusted)
    return trusted if able else suited


def _holds_when_empty(vms: Sequence[Vm], group: Group) -> bool:
    rooms = Rooms(vms, lambda vm: vm.shape.capacity)
    for _ in range(group.step.tasks):
        vm_id = next((each for each, room in rooms.rooms.items() if group.need.within(room)), None)
        if vm_id is None:
            return False
        rooms.take(group, vm_id)
    return True


def _suits(vm: Vm, group: Group) -> bool:
    return not group.step.label or group.step.label in vm.shape.labels


def _tightest(rooms: Rooms, group: Group, index: int, now_s: float) -> Vm | None:
    """Return the VM with room that leaves the least of it."""
    fitting = [
        vm
        for vm_id, vm in rooms.vms.items()
        if group.need.within(rooms.rooms[vm_id]) and rooms.within_limit(group, vm)
    ]
    return min(fitting, key=lambda vm: prefer(rooms, group, index, vm, now_s), default=None)


def prefer(
    rooms: Rooms, group: Group, index: int, vm: Vm, now_s: float
) -> tuple[bool, bool, int, float, str]:
    """Return where a VM stands among those with room for a task, the best first."""
    left = rooms.rooms[vm.vm_id].minus(group.need)
    distrusted = not vm.is_trusted(now_s)
    failed_here = vm.vm_id in group.failed_on.get(index, ())
    return (distrusted, failed_here, left.accelerators, left.weight, vm.vm_id)


def _time_to_room(rooms: Rooms, vm: Vm, group: Group, left_s: Callable[[Attempt], float]) -> float:
    """Return in how many seconds one more task of a group fits on a VM; infinite for never."""
    if not rooms.within_limit(group, vm):
        return math.inf
    room = rooms.rooms[vm.vm_id]
    if group.need.within(room):
        return 0.0
    for ends_s, attempt in sorted(
        ((left_s(attempt), attempt) for attempt in vm.attempts.values()), key=lambda pair: pair[0]
    ):
        room = room.plus(attempt.need)
        if group.need.within(room):
            return ends_s
    return math.inf

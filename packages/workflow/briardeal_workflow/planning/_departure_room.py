"""Capacity in which tasks from leaving VMs can restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._pace import PaceReader
from briardeal_workflow.planning._placement import TentativeCapacity, find_pools

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.model import TaskGroupId
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Resources, Vm

RESERVED_BESIDE_STOP_S = 0.6
"""Time beside the stop for which the VMs for a moved gang are kept free: reports of the ends and a
planning round."""


class DepartureRoom:
    """Capacity in which stopped tasks can restart, free now or soon.

    What has been stopped for departures and has not ended yet counts as having restarted.

    Parameters
    ----------
    state, now_s
        Planner state, and the current time.
    """

    def __init__(self, state: PlannerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.paces = PaceReader(state, now_s)
        self._taken: dict[str, Resources] = {}
        self._moving_counted = False
        # Many tasks leave with one VM; each VM is looked at once for each time left.
        self._free: dict[tuple[str, float], Resources] = {}
        self._lacking: set[tuple[TaskGroupId, float]] = set()

    def take(self, group: TaskGroup, members: Sequence[Attempt], left_s: float) -> bool:
        """Return whether all members fit on other VMs within a time, and take their capacity there.

        The VMs for a gang are reserved until it can start, as smaller tasks would otherwise start
        there while it stops.
        """
        if not self._moving_counted:
            self._moving_counted = True
            self._count_moving()
        size = (group.group_id, left_s)
        if size in self._lacking:
            return False
        vm_ids = self._place(group, len(members), members, left_s)
        if vm_ids is None:
            self._lacking.add(size)
            return False
        if group.step.gang:
            stop_s = self.state.timing.stop_s
            for vm_id in vm_ids:
                until_s = self.now_s + stop_s + RESERVED_BESIDE_STOP_S
                self.state.vms[vm_id].reserve_for(group.group_id, until_s)
            group.reserved_vms |= set(vm_ids)
        return True

    def _count_moving(self) -> None:
        """Take the capacity for what earlier rounds have stopped.

        That of a gang is reserved, so that no other departure counts on it.
        """
        moving: dict[TaskGroupId, list[Attempt]] = {}
        for vm in self.state.vms.values():
            for attempt in vm.attempts.values():
                if attempt.loss_cause == LossCause.VM_LEAVING:
                    moving.setdefault(attempt.task.group, []).append(attempt)
        for group_id, attempts in moving.items():
            group = self.state.group_of(attempts[0].task)
            if group is None or self._has_reservation(group_id):
                continue
            vms = [self.state.vms[each.vm_id] for each in attempts]
            leaves_s = max((vm.leaves_s for vm in vms if vm.leaves_s is not None), default=0.0)
            count = group.step.tasks if group.step.gang else len(attempts)
            self._place(group, count, (), leaves_s - self.now_s)

    def _has_reservation(self, group_id: TaskGroupId) -> bool:
        vms = self.state.vms.values()
        return any(vm.reserved_for == group_id and vm.reserved_until_s > self.now_s for vm in vms)

    def _place(
        self,
        group: TaskGroup,
        count: int,
        stopped: Sequence[Attempt],
        within_s: float,
    ) -> list[str] | None:
        """Return VMs that have capacity for some tasks within a time, and take it there."""
        active_job = self.state.active_jobs[group.group_id.job_id]
        vms = [
            vm
            for vm in self.state.vms_of(active_job)
            if not vm.is_closed_to(group.group_id, self.now_s)
            and not vm.is_reserved_for_other(group.group_id, self.now_s)
        ]
        for pool in find_pools(vms, group, self.now_s):
            capacity = TentativeCapacity(pool, lambda vm: self._expected_capacity(vm, within_s))
            capacity.release(each for each in stopped if self.paces(each) > within_s)
            vm_ids = _place_all(capacity, group, count, stopped)
            if vm_ids is not None:
                for vm_id in vm_ids:
                    taken = self._taken.get(vm_id)
                    size = group.task_resources
                    self._taken[vm_id] = size if taken is None else taken.plus(size)
                return vm_ids
        return None

    def _expected_capacity(self, vm: Vm, within_s: float) -> Resources:
        """Return the capacity of a VM within a time, less what has been taken of it."""
        free = self._free.get((vm.vm_id, within_s))
        if free is None:
            free = vm.expected_capacity()
            for attempt in vm.attempts.values():
                if attempt.phase is not AttemptPhase.STOPPING and self.paces(attempt) <= within_s:
                    free = free.plus(attempt.resources)
            self._free[vm.vm_id, within_s] = free
        taken = self._taken.get(vm.vm_id)
        return free if taken is None else free.minus(taken)


def _place_all(
    capacity: TentativeCapacity, group: TaskGroup, count: int, stopped: Sequence[Attempt]
) -> list[str] | None:
    """Return a VM for each of some tasks of a group, or `None` if they do not all fit."""
    limit = group.step.per_vm_limit
    stopped_on: dict[str, int] = {}
    for attempt in stopped:
        stopped_on[attempt.vm_id] = stopped_on.get(attempt.vm_id, 0) + 1
    chosen: list[str] = []
    for vm_id, vm in capacity.vms.items():
        others = vm.task_count(group.group_id) - stopped_on.get(vm_id, 0) if limit else 0
        while len(chosen) < count and group.task_resources.fits_in(capacity.free[vm_id]):
            if limit and others + capacity.placed.get(vm_id, 0) >= limit:
                break
            capacity.place(group, vm_id)
            chosen.append(vm_id)
    return chosen if len(chosen) == count else None

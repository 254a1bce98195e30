"""Claims of tasks on VMs that have been cleared for them, or are about to be."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardeal_workflow.planning._placement import Placement
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Resources

CLAIM_LIMIT_S = 3.0
"""Shortest limit of the wait for stopped attempts to end."""

LOST_STOP_S = 2.1
"""Time by which a claim outlasts a stop: a lost order is sent again after 1.5 s, and two reports
show that first and the end then. With stops of 0.9 s, this gives the shortest limit of 3 s."""

SILENT_CLAIM_LIMIT_S = 0.5
"""Silence of a VM after which its claims are released; an agent repeats an unanswered call to its
worker after 0.25 s."""


@attrs.frozen
class Claim:
    """Claim of a task on a VM.

    Parameters
    ----------
    vm_id
        VM on which the task starts as soon as its capacity is free.
    since_s
        Time of the claim, on the event loop's clock.
    until_s
        Until when it waits for tasks that are expected to end by themselves; `None` if it does not
        depend on such tasks.
    """

    vm_id: str
    since_s: float
    until_s: float | None = None


class ClaimKeeper:
    """Adds claims, and releases those that can't be used in time.

    A gang keeps its other claims while one of its members is placed again. It gives up all of them
    if no VM is found for that member, or if its members have to be placed together.

    Parameters
    ----------
    state
        Planner state with the claims.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def add(
        self,
        group: TaskGroup,
        placement: Placement,
        now_s: float,
        awaited_until_s: float | None = None,
    ) -> None:
        """Claim the VMs of a placement for the tasks of a group.

        Parameters
        ----------
        awaited_until_s
            Until when claims wait that depend on tasks that end by themselves.
        """
        for index, vm_id in placement.vms.items():
            until_s = awaited_until_s if vm_id in placement.awaited_vms else None
            group.claims[index] = Claim(vm_id, now_s, until_s)
            self.state.vms[vm_id].claims[group.task_id(index)] = group.task_resources
        self.state.claiming_groups.add(group.group_id)

    def ready_indices(self, group: TaskGroup) -> list[int]:
        """Return the tasks that can start now on the VMs that they have claimed.

        The members of a gang start only together.
        """
        fitting = self._fitting_indices(group)
        return [] if group.step.gang and len(fitting) < group.step.tasks else fitting

    def release_silent(self, now_s: float) -> None:
        """Release claims on VMs that have been silent for too long."""
        for vm in self.state.vms.values():
            if vm.claims and vm.silent_s(now_s) > SILENT_CLAIM_LIMIT_S:
                self.state.release_claims_on(vm, "is silent")

    def release_late(self, group: TaskGroup, now_s: float) -> None:
        """Release claims on VMs that have not become free in time."""
        fitting = self._fitting_indices(group)
        late = self._overdue_indices(group, now_s).difference(fitting)
        self.state.release_claims(group, "VMs were not free in time", sorted(late))
        in_vain = {
            index
            for index, claim in group.claims.items()
            if claim.until_s is not None and claim.until_s <= now_s
        }
        in_vain.difference_update(fitting)
        self.state.release_claims(group, "tasks there did not end by themselves", sorted(in_vain))

    def awaited_until_s(self, group: TaskGroup) -> float:
        """Return until when the first claim waits for tasks to end; infinity if none does."""
        waits = (claim.until_s for claim in group.claims.values() if claim.until_s is not None)
        return min(waits, default=math.inf)

    def release_incomplete(self, group: TaskGroup, now_s: float) -> None:
        """Release all claims of a gang that has found no VM for some of its members in time."""
        if group.step.gang and self._overdue_indices(group, now_s):
            self.state.release_claims(group, "no VM for every member of the gang")

    def _overdue_indices(self, group: TaskGroup, now_s: float) -> set[int]:
        limit_s = max(CLAIM_LIMIT_S, self.state.timing.stop_s + LOST_STOP_S)
        claims = group.claims.items()
        return {index for index, claim in claims if now_s - claim.since_s > limit_s}

    def _fitting_indices(self, group: TaskGroup) -> list[int]:
        """Return the tasks whose claimed VMs have enough free capacity for them."""
        free: dict[str, Resources] = {}
        fitting = []
        for index, claim in sorted(group.claims.items()):
            vm = self.state.vms[claim.vm_id]
            capacity = free.get(claim.vm_id) or vm.free_capacity()
            if vm.accepts_tasks and group.task_resources.fits_in(capacity):
                free[claim.vm_id] = capacity.minus(group.task_resources)
                fitting.append(index)
        return fitting

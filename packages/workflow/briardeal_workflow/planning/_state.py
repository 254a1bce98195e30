"""What the decisions are taken from."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.model import Directory
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._orders import StopTask

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.model import GroupId, TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob, Group
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._orders import Order
    from briardeal_workflow.planning._vms import Vm


@attrs.define(eq=False)
class PlannerState:
    """Jobs, VMs, and the orders that have not been handed out.

    Attributes
    ----------
    first_attempt_number
        Least number of a start under this owner.
    directory
        The configuration in force.
    works
        Jobs that are not over, and those over that still have running tasks.
    vms
        VMs by name.
    changed
        Jobs whose progress has to be kept.
    advanced
        Jobs with newer checkpoints of tasks that run; these may be kept later.
    ended
        Jobs that were over under this owner.
    orders
        Orders that have not been handed out.
    claimed_since_s
        When groups chose VMs on which there is no room yet.
    """

    first_attempt_number: int
    directory: Directory = attrs.field(factory=Directory)
    active_jobs: dict[str, ActiveJob] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    unsaved_jobs: set[str] = attrs.field(factory=set)
    unsaved_checkpoints: set[str] = attrs.field(factory=set)
    finished_jobs: set[str] = attrs.field(factory=set)
    orders: list[Order] = attrs.field(factory=list)
    claimed_since_s: dict[GroupId, float] = attrs.field(factory=dict)

    def work_of(self, task: TaskId) -> ActiveJob | None:
        """Return the job of a task, if it has the task."""
        work = self.active_jobs.get(task.job_id)
        return work if work is not None and task.group in work.groups else None

    def group_of(self, task: TaskId) -> Group | None:
        """Return the group of a task."""
        work = self.work_of(task)
        return work.groups[task.group] if work is not None else None

    def stop(self, attempt: Attempt, cause: str, **inputs: object) -> None:
        """Order that a start ends, unless that was ordered before."""
        if attempt.phase is not AttemptPhase.STOPPING:
            attempt.phase = AttemptPhase.STOPPING
            self.orders.append(StopTask(attempt.vm_id, attempt.task, attempt.number, cause, inputs))

    def stopped_together(self, attempt: Attempt) -> tuple[Attempt, ...]:
        """Return what ends along with a start: the members of its gang, or itself alone."""
        group = self.group_of(attempt.task)
        if group is None or not group.step.gang:
            return (attempt,)
        return tuple(
            each for each in group.active_attempts() if each.phase is not AttemptPhase.STOPPING
        )

    def record_started(self, task: TaskId) -> None:
        """Note that a task of a job runs."""
        work = self.work_of(task)
        if work is not None and not work.started:
            work.started = True
            self.unsaved_jobs.add(task.job_id)

    def record_checkpoint(self, task: TaskId, checkpoint: str, *, ended: bool) -> None:
        """Note the newest checkpoint of a task.

        That of a start that has ended is kept at once: its VM forgets it when the end is kept.
        """
        group = self.group_of(task)
        if group is None or not checkpoint or task.index in group.done:
            return
        index = group.record_index(task.index)
        if group.checkpoints.get(index) != checkpoint:
            group.checkpoints[index] = checkpoint
            self.unsaved_checkpoints.add(task.job_id)
        if ended:
            self.unsaved_jobs.add(task.job_id)

    def release_claims(self, group: Group, indices: Iterable[int] | None = None) -> None:
        """Give up the VMs that tasks have chosen; of all tasks where none are named."""
        for index in list(group.claimed_vms if indices is None else indices):
            vm = self.vms.get(group.claimed_vms.pop(index, ""))
            if vm is not None:
                vm.claims.pop(group.task_id(index), None)
        if not group.claimed_vms:
            self.claimed_since_s.pop(group.group_id, None)

    def release_claims_on(self, vm: Vm) -> None:
        """Give up a VM that tasks have chosen, and with it all VMs of their groups."""
        for task in list(vm.claims):
            group = self.group_of(task)
            if group is None:
                del vm.claims[task]
            else:
                self.release_claims(group)

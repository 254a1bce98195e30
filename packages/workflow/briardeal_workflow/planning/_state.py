"""State from which the planner decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.model import Configuration, OverloadPolicy, PlannerTiming
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._orders import StopTask
from briardeal_workflow.planning._paces import VmPaces
from briardeal_workflow.planning._run_times import RunTimeRecord
from briardeal_workflow.planning._task_groups import PreemptionHistory

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from briardeal_workflow.model import TaskGroupId, TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._attempts import Attempt, AttemptOutcome
    from briardeal_workflow.planning._orders import Order
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm


@attrs.define(eq=False)
class PlannerState:
    """Jobs, VMs, configuration, and orders that have not been returned yet.

    Attributes
    ----------
    first_attempt_number
        Lowest attempt number of this owner.
    configuration
        Current configuration.
    active_jobs
        Jobs that have not finished, and finished jobs that still have attempts, by job ID.
    vms
        VMs by name.
    unsaved_jobs
        Jobs whose progress has to be written to the store.
    unsaved_checkpoints
        Jobs with new checkpoints of running tasks or new preemptions; these may be written later.
    finished_jobs
        Jobs that finished under this owner.
    unstored_ends
        Outcomes of attempts whose ends have been reported and are not in the store yet, by VM, and
        by task and number.
    orders
        Orders that have not been returned yet.
    claiming_groups
        Groups with claims on VMs that do not have enough free capacity yet.
    unstable_vms
        Until when VMs count as unstable whose worker has crashed, by VM, on the event loop's clock.
    takeover_complete
        Whether all tasks that an earlier owner may have started are known.
    wall_offset_s
        Time of day less the time on the loop's clock, at the newest planning round.
    timing
        Times that the platform promises.
    evacuated_domains
        Failure domains in which no task may start.
    overload
        Operator's choices for times of too little capacity.
    starts_held
        Whether no task may start, as the operators' requests can't be read.
    run_times
        Measured run times of completed tasks.
    paces
        Relative paces of VMs.
    """

    first_attempt_number: int
    configuration: Configuration = attrs.field(factory=Configuration)
    active_jobs: dict[str, ActiveJob] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    unsaved_jobs: set[str] = attrs.field(factory=set)
    unsaved_checkpoints: set[str] = attrs.field(factory=set)
    finished_jobs: set[str] = attrs.field(factory=set)
    unstored_ends: dict[str, dict[tuple[TaskId, int], AttemptOutcome]] = attrs.field(factory=dict)
    orders: list[Order] = attrs.field(factory=list)
    claiming_groups: set[TaskGroupId] = attrs.field(factory=set)
    unstable_vms: dict[str, float] = attrs.field(factory=dict)
    takeover_complete: bool = False
    wall_offset_s: float = 0.0
    timing: PlannerTiming = attrs.field(factory=PlannerTiming)
    evacuated_domains: frozenset[str] = frozenset()
    overload: OverloadPolicy = attrs.field(factory=OverloadPolicy)
    starts_held: bool = False
    run_times: RunTimeRecord = attrs.field(factory=RunTimeRecord)
    paces: VmPaces = attrs.field(factory=VmPaces)

    def capacity_cores(self) -> dict[str, float]:
        """Return the capacity of all VMs by service, in cores, with accelerators as cores.

        Without the VMs of evacuated domains, which may be gone for longer than any task waits.
        """
        capacity: dict[str, float] = {}
        for vm in self.vms.values():
            if vm.evacuated:
                continue
            service = vm.description.service
            cores = vm.description.capacity.core_equivalents
            capacity[service] = capacity.get(service, 0.0) + cores
        return capacity

    def vms_of(self, active_job: ActiveJob) -> list[Vm]:
        """Return the VMs of the service and of the regions in which the tasks of a job may run."""
        service, queue = active_job.job.service, active_job.queue
        return [
            vm
            for vm in self.vms.values()
            if vm.description.service == service and queue.allows_region(vm.description.region)
        ]

    def job_of(self, task: TaskId) -> ActiveJob | None:
        """Return the job of a task; `None` if the job is unknown or has no such task."""
        active_job = self.active_jobs.get(task.job_id)
        return active_job if active_job is not None and task.group in active_job.groups else None

    def group_of(self, task: TaskId) -> TaskGroup | None:
        """Return the group of a task; `None` if it is unknown."""
        active_job = self.job_of(task)
        return active_job.groups[task.group] if active_job is not None else None

    def stop(self, attempt: Attempt, cause: str, *, loss_cause: str, **inputs: object) -> None:
        """Order an attempt to stop, unless it was ordered to stop before.

        Parameters
        ----------
        loss_cause
            Cause under which the lost work is counted, a `LossCause` or one of a broken gang; empty
            if another member of the gang will show it.
        """
        if attempt.phase is not AttemptPhase.STOPPING:
            attempt.phase = AttemptPhase.STOPPING
            attempt.loss_cause = loss_cause
            self.orders.append(StopTask(attempt.vm_id, attempt.task, attempt.number, cause, inputs))

    def preempt(self, attempt: Attempt, cause: str, now_s: float, **inputs: object) -> None:
        """Order an attempt to stop for other work, and record what its task loses."""
        group = self.group_of(attempt.task)
        if group is None or attempt.phase is AttemptPhase.STOPPING:
            return
        history = group.preemptions.setdefault(attempt.task.index, PreemptionHistory())
        lost_core_s = attempt.unsaved_core_s(now_s)
        self.stop(
            attempt,
            cause,
            loss_cause=LossCause.PREEMPTED,
            queue=self.active_jobs[attempt.task.job_id].queue.name,
            lost_core_s=round(lost_core_s, 1),
            earlier_preemptions=history.count,
            earlier_lost_core_s=round(history.lost_core_s, 1),
            **inputs,
        )
        history.count += 1
        history.lost_core_s += lost_core_s
        self.unsaved_checkpoints.add(attempt.task.job_id)

    def stopped_together(self, attempt: Attempt) -> tuple[Attempt, ...]:
        """Return the attempts to stop together: the members of the gang, or this attempt alone."""
        group = self.group_of(attempt.task)
        if group is None or not group.step.gang:
            return (attempt,)
        return tuple(
            each for each in group.active_attempts() if each.phase is not AttemptPhase.STOPPING
        )

    def record_started(self, task: TaskId) -> None:
        """Record that a task of a job has started."""
        active_job = self.job_of(task)
        if active_job is not None:
            active_job.groups[task.group].forget_refusals(task.index)
        if active_job is not None and not active_job.started:
            active_job.started = True
            self.unsaved_jobs.add(task.job_id)

    def forget_stored_ends(self, stored: Mapping[str, Iterable[tuple[TaskId, int]]]) -> None:
        """Forget the ends of attempts that are in the store now, given by VM."""
        for vm_id, attempts in stored.items():
            for attempt in attempts:
                self.unstored_ends[vm_id].pop(attempt, None)
            if not self.unstored_ends[vm_id]:
                del self.unstored_ends[vm_id]

    def record_checkpoint(self, task: TaskId, checkpoint: str, *, ended: bool) -> None:
        """Record the newest checkpoint of a task.

        The checkpoint of an ended attempt is saved at once, because the VM forgets it as soon as
        the outcome has been saved.
        """
        group = self.group_of(task)
        if group is None or not checkpoint or task.index in group.done:
            return
        index = group.recorded_index(task.index)
        if group.checkpoints.get(index) != checkpoint:
            group.checkpoints[index] = checkpoint
            self.unsaved_checkpoints.add(task.job_id)
        if ended:
            self.unsaved_jobs.add(task.job_id)

    def release_claims(
        self, group: TaskGroup, cause: str, indices: Iterable[int] | None = None
    ) -> None:
        """Release the claims of the given tasks of a group, or of all its tasks.

        The members of a rack-sensitive gang lose their claims together, as they may find VMs on
        another rack only together.
        """
        selected = list(group.claims if indices is None else indices)
        if selected and group.step.gang and group.step.rack_sensitive:
            selected = list(group.claims)
        released = set()
        for index in selected:
            claim = group.claims.pop(index, None)
            if claim is None:
                continue
            released.add(claim.vm_id)
            if claim.vm_id in self.vms:
                self.vms[claim.vm_id].claims.pop(group.task_id(index), None)
        if not group.claims:
            self.claiming_groups.discard(group.group_id)
        if released:
            log_event(
                Event.CLAIMS_RELEASED,
                job_id=group.group_id.job_id,
                step=group.group_id.step,
                cause=cause,
                vms=sorted(released),
                kept=len(group.claims),
            )

    def release_claims_on(self, vm: Vm, cause: str) -> None:
        """Release all claims on a VM."""
        indices_by_group: dict[TaskGroupId, list[int]] = {}
        for task in vm.claims:
            indices_by_group.setdefault(task.group, []).append(task.index)
        for group_id, indices in indices_by_group.items():
            active_job = self.active_jobs[group_id.job_id]
            self.release_claims(active_job.groups[group_id], f"{vm.vm_id} {cause}", indices)

"""The planner as its callers see it."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.model import Queue
from briardeal_workflow.planning._active_jobs import ActiveJob
from briardeal_workflow.planning._attempts import Attempt, AttemptOutcome, AttemptPhase
from briardeal_workflow.planning._completions import CompletionHandler
from briardeal_workflow.planning._state import PlannerState
from briardeal_workflow.planning._stuck_tasks import is_stuck
from briardeal_workflow.planning._task_starter import TaskStarter
from briardeal_workflow.planning._vms import LIST_INTERVAL_S, Vm

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.book import Progress
    from briardeal_workflow.model import Directory, Job, TaskId
    from briardeal_workflow.planning._orders import Order
    from briardeal_workflow.planning._vms import VmDescription

MISSING_LIMIT_S = 3.0
"""Time after which a start that its VM no longer lists counts as lost; lists come each second."""

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no use to its caller any more."""

ATTEMPT_NUMBERS_PER_EPOCH = 1000
"""Numbers of starts that one owner may use for a task, so that those of the next are higher."""


@attrs.frozen
class RunningTask:
    """A task as the list of a VM tells it.

    Parameters
    ----------
    task, number
        What runs, and the number of its start.
    checkpoint
        Its newest checkpoint; empty for none.
    percent
        Part of its work that is done.
    load
        Rough figure of the last half second: tail latency in milliseconds of a lasting task with a
        latency target, processor time in use of any other.
    """

    task: TaskId
    number: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0


class Planner:
    """Decides which task runs where and when.

    It does no I/O: callers tell it what happened, with the time in seconds on a clock that never
    goes back, and ask for orders. Every order counts as given when it is returned.

    Parameters
    ----------
    epoch
        Fencing token of its owner; starts are numbered above those of lower epochs.

    Attributes
    ----------
    state
        What the decisions are taken from.
    settled
        Whether every task that an earlier owner may have started is known.
    """

    def __init__(self, epoch: int) -> None:
        self.state = PlannerState((epoch - 1) * ATTEMPT_NUMBERS_PER_EPOCH + 1)
        self.starter = TaskStarter(self.state)
        self.completions = CompletionHandler(self.state)
        self.takeover_complete = False

    def configure(self, directory: Directory) -> None:
        """Take over a new configuration."""
        self.state.directory = directory
        for work in self.state.active_jobs.values():
            work.queue = directory.by_name.get(work.job.queue, work.queue)

    def add_job(
        self, job: Job, progress: Progress, now_s: float, *, takeover_pending: bool = False
    ) -> None:
        """Take a job; the same job again changes nothing.

        Parameters
        ----------
        unsettled
            Whether an earlier owner may have started tasks of it.
        """
        state = self.state
        if job.job_id in state.active_jobs or job.job_id in state.finished_jobs or progress.state:
            return
        queue = state.directory.by_name.get(job.queue, Queue(job.queue, "", "", job.service))
        work = ActiveJob.begin(job, queue, progress, now_s)
        for group in work.groups.values():
            group.takeover_pending = takeover_pending
        state.active_jobs[job.job_id] = work

    def cancel_job(self, job_id: str) -> None:
        """Stop a job that its caller wants no more."""
        work = self.state.active_jobs.get(job_id)
        if work is not None and not work.cancelled:
            work.cancelled = True
            self.completions.stop_job(work, "cancelled")

    def complete_takeover(self) -> None:
        """Note that every task that an earlier owner may have started is known."""
        self.takeover_complete = True
        for work in self.state.active_jobs.values():
            for group in work.groups.values():
                group.takeover_pending = False

    def update_vm(self, shape: VmDescription, held_until_s: float, now_s: float) -> None:
        """Note what a VM says of itself; after a restart of its worker all that it ran is lost."""
        vm = self.state.vms.get(shape.vm_id)
        if vm is not None and vm.description.incarnation != shape.incarnation:
            self.remove_vm(shape.vm_id, now_s)
            vm = None
        if vm is None:
            vm = self.state.vms[shape.vm_id] = Vm(shape, listed_s=now_s)
        if shape.leaving and not vm.description.leaving:
            self.state.release_claims_on(vm)
        vm.description = shape
        vm.in_reach = True
        vm.held_until_s = max(vm.held_until_s, held_until_s)

    def extend_lease(self, vm_id: str, held_until_s: float) -> None:
        """Note until when the work of a VM may go on unheard."""
        vm = self.state.vms.get(vm_id)
        if vm is not None:
            vm.held_until_s = max(vm.held_until_s, held_until_s)

    def mark_unreachable(self, vm_id: str) -> None:
        """Note that a VM is not heard; what it runs may go on until its hold is over."""
        vm = self.state.vms.get(vm_id)
        if vm is not None and vm.in_reach:
            vm.in_reach = False
            self.state.release_claims_on(vm)

    def remove_vm(self, vm_id: str, now_s: float) -> None:
        """Take out a VM; all that it ran is lost."""
        vm = self.state.vms.pop(vm_id, None)
        if vm is None:
            return
        self.state.release_claims_on(vm)
        for attempt in list(vm.attempts.values()):
            self.completions.end_attempt(vm, attempt, AttemptOutcome.LOST, "", now_s)

    def record_started(self, vm_id: str, task: TaskId, number: int, now_s: float) -> None:
        """Note that a start has begun."""
        attempt = self._find_attempt(vm_id, task, number)
        if attempt is not None and attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            attempt.last_progress_s = now_s
            self.state.record_started(task)

    def record_unhealthy(self, vm_id: str, now_s: float) -> None:
        """Note that a VM takes no starts because it considers itself unhealthy."""
        vm = self.state.vms.get(vm_id)
        if vm is not None:
            self.completions.record_failure(vm, now_s, vm_at_fault=True)

    def record_task_list(
        self, vm_id: str, rows: Iterable[RunningTask], now_s: float, age_s: float = 0.0
    ) -> None:
        """Take over the list of what a VM runs, and the age of that list."""
        vm = self.state.vms.get(vm_id)
        if vm is None:
            return
        vm.record_list_time(now_s - age_s)
        listed = set()
        for row in rows:
            listed.add((row.task, row.number))
            attempt = vm.attempts.get((row.task, row.number))
            if attempt is None:
                attempt = self._adopt_attempt(vm, row, now_s)
            self._record_progress(attempt, row, now_s)
        self._end_missing_attempts(vm, listed, now_s)

    def record_outcome(
        self,
        vm_id: str,
        task: TaskId,
        number: int,
        end: AttemptOutcome,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Note that a start is over."""
        attempt = self._find_attempt(vm_id, task, number)
        if attempt is not None:
            self.completions.end_attempt(self.state.vms[vm_id], attempt, end, checkpoint, now_s)
        else:
            # A start that was taken for lost, or that an earlier owner has ordered.
            self.completions.record_outcome(task, number, end, checkpoint, now_s)

    def decide(self, now_s: float, wall_s: float) -> list[Order]:
        """Return what is to be done now, in this order."""
        self._remove_expired_vms(now_s)
        self._evacuate_leaving_vms()
        self._stop_stuck_tasks(now_s, wall_s)
        self.starter.start_claimed(now_s)
        for work in sorted(
            self.state.active_jobs.values(), key=lambda each: _job_order(each, wall_s)
        ):
            if work.finished:
                continue
            for group in work.ready_groups(wall_s, now_s):
                self.starter.start_or_preempt(work, group, now_s)
        self._forget_finished_jobs()
        orders, self.state.orders = self.state.orders, []
        return orders

    def _find_attempt(self, vm_id: str, task: TaskId, number: int) -> Attempt | None:
        vm = self.state.vms.get(vm_id)
        return vm.attempts.get((task, number)) if vm is not None else None

    def _adopt_attempt(self, vm: Vm, row: RunningTask, now_s: float) -> Attempt:
        """Take over a start that this owner has not ordered, or stop it where nobody wants it."""
        work = self.state.work_of(row.task)
        if work is None:
            attempt = Attempt(
                row.task, row.number, vm.vm_id, vm.unclaimed_capacity(), 0, "", ordered_s=now_s
            )
            vm.attempts[row.task, row.number] = attempt
            self.state.stop(attempt, "job is over")
            return attempt
        group = work.groups[row.task.group]
        attempt = self.starter.add_attempt(work, group, vm, row.task, row.number, now_s)
        attempt.phase = AttemptPhase.RUNNING
        self.state.record_started(row.task)
        if work.finished or row.task.index in group.done:
            self.state.stop(attempt, "task is over")
        log_event(Event.JOB_ADOPTED, job_id=row.task.job_id, task=str(row.task), vm=vm.vm_id)
        return attempt

    def _record_progress(self, attempt: Attempt, row: RunningTask, now_s: float) -> None:
        if attempt.phase is AttemptPhase.ORDERED:
            attempt.phase = AttemptPhase.RUNNING
            self.state.record_started(row.task)
        if attempt.first_listed_s is None:
            attempt.first_percent = row.percent
            attempt.first_listed_s = now_s
        if row.percent > attempt.percent:
            attempt.percent = row.percent
            attempt.last_progress_s = now_s
        if row.checkpoint and row.checkpoint != attempt.checkpoint:
            attempt.checkpoint = row.checkpoint
            self.state.record_checkpoint(row.task, row.checkpoint, ended=False)

    def _end_missing_attempts(self, vm: Vm, listed: set[tuple[TaskId, int]], now_s: float) -> None:
        for key, attempt in list(vm.attempts.items()):
            if key in listed or attempt.phase is AttemptPhase.ORDERED:
                vm.missing_since_s.pop(key, None)
            elif now_s - vm.missing_since_s.setdefault(key, now_s) > MISSING_LIMIT_S:
                self.completions.end_attempt(vm, attempt, AttemptOutcome.LOST, "", now_s)

    def _evacuate_leaving_vms(self) -> None:
        """Stop what can go on elsewhere on VMs that are leaving."""
        for vm in self.state.vms.values():
            if not vm.description.leaving:
                continue
            for attempt in list(vm.attempts.values()):
                group = self.state.group_of(attempt.task)
                movable = group is not None and (group.step.checkpoints or group.step.lasting)
                if movable and attempt.phase is not AttemptPhase.STOPPING and group.may_disrupt():
                    for each in self.state.stopped_together(attempt):
                        self.state.stop(each, "VM is leaving")

    def _stop_stuck_tasks(self, now_s: float, wall_s: float) -> None:
        for vm in self.state.vms.values():
            known_s = min(now_s, vm.listed_s + LIST_INTERVAL_S)
            for attempt in list(vm.attempts.values()):
                work = self.state.work_of(attempt.task)
                if work is None:
                    continue
                group = work.groups[attempt.task.group]
                if is_stuck(attempt, group, known_s, partial(work.slack_s, group, wall_s)):
                    self.completions.record_failure(vm, now_s)
                    for each in self.state.stopped_together(attempt):
                        silent_s = round(known_s - each.last_progress_s, 3)
                        self.state.stop(
                            each, "no progress", percent=each.percent, silent_s=silent_s
                        )

    def _remove_expired_vms(self, now_s: float) -> None:
        for vm in list(self.state.vms.values()):
            if not vm.in_reach and vm.held_until_s < now_s:
                log_event(Event.AGENT_EXPIRED, vm=vm.vm_id, tasks=len(vm.attempts))
                self.remove_vm(vm.vm_id, now_s)

    def _forget_finished_jobs(self) -> None:
        for job_id, work in list(self.state.active_jobs.items()):
            idle = not any(any(group.active_attempts()) for group in work.groups.values())
            if work.finished and idle and job_id not in self.state.unsaved_jobs:
                del self.state.active_jobs[job_id]
                self.state.finished_jobs.add(job_id)


def _job_order(work: ActiveJob, wall_s: float) -> tuple[int, bool, float, str]:
    """Return the place of a job: urgent classes first, then by when it has to be done."""
    objective_s = work.objective_s()
    too_late = wall_s > work.job.accepted_s + LATE_FACTOR * objective_s and not work.job.timed
    return (work.queue.priority, too_late, work.job.accepted_s + objective_s, work.job.job_id)

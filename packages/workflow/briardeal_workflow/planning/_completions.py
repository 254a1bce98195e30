"""Handling of ended attempts: retries, failure counts, quarantine of VMs, and finished jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import AttemptOutcome
from briardeal_workflow.planning._losses import LossAccount, LossCause, broken_by

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

EARLY_FAILURE_S = 1.0
"""Time after the start order in which a failure is attributed to the VM rather than to the task: a
tenth of the run time of the shortest usual tasks, plus the message delay."""


class CompletionHandler:
    """Updates jobs, tasks and VMs when attempts end.

    Parameters
    ----------
    state
        Planner state to update.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state
        self.losses = LossAccount()

    def end_attempt(
        self, vm: Vm, attempt: Attempt, outcome: AttemptOutcome, checkpoint: str, now_s: float
    ) -> None:
        """Remove an ended attempt from its VM and record its outcome."""
        task = attempt.task
        vm.attempts.pop((task, attempt.number), None)
        vm.missing_since_s.pop((task, attempt.number), None)
        vm.shorten_probation()
        active_job = self.state.job_of(task)
        if outcome is AttemptOutcome.DONE:
            vm.record_success(attempt.ordered_s)
        elif outcome is AttemptOutcome.FAILED:
            vm_at_fault = active_job is not None and self._is_vm_at_fault(
                active_job, vm, attempt, now_s
            )
            self.record_failure(vm, now_s, vm_at_fault=vm_at_fault)
        if active_job is None:
            return
        group = active_job.groups[task.group]
        self.state.run_times.record(active_job, group, attempt, outcome, now_s)
        running = group.attempts.get(task.index, [])
        if attempt in running:
            running.remove(attempt)
        if outcome is AttemptOutcome.REFUSED:
            group.record_refusal(task.index, vm.vm_id, now_s)
        if outcome is AttemptOutcome.FAILED:
            group.failed_vms.setdefault(task.index, set()).add(vm.vm_id)
        cause = self.losses.record_end(active_job, group, attempt, vm, outcome, checkpoint, now_s)
        self.record_outcome(task, attempt.number, outcome, checkpoint, now_s, cause)

    def record_failure(self, vm: Vm, now_s: float, *, vm_at_fault: bool = False) -> None:
        """Record that a task failed or was stuck on a VM."""
        if vm.record_failure(now_s, vm_at_fault=vm_at_fault):
            log_event(
                Event.ENDPOINT_EJECTED,
                vm=vm.vm_id,
                failures=vm.consecutive_failures,
                for_s=round(vm.quarantined_until_s - now_s, 3),
            )

    def record_outcome(
        self,
        task: TaskId,
        number: int,
        outcome: AttemptOutcome,
        checkpoint: str,
        now_s: float,
        cause: str | None = None,
    ) -> None:
        """Apply the outcome of an attempt to its task and job.

        Parameters
        ----------
        cause
            Cause of an end without a result; `None` if it is not known.
        """
        active_job = self.state.job_of(task)
        if active_job is None or active_job.finished:
            return
        group = active_job.groups[task.group]
        self.state.record_checkpoint(task, checkpoint, ended=True)
        if outcome is AttemptOutcome.DONE and not group.step.long_running:
            self._record_done(active_job, group, task, number, now_s)
            return
        if (
            outcome is AttemptOutcome.FAILED
            and not group.step.long_running
            and task.index not in group.done
        ):
            self._count_failure(active_job, group, task.index, number, now_s)
        if group.step.gang and not active_job.finished and not group.complete:
            for attempt in list(group.active_attempts()):
                if attempt.number == number:
                    self.state.stop(
                        attempt,
                        f"member {task.index} of the gang is {outcome}",
                        loss_cause="" if cause is None else broken_by(cause),
                    )

    def fail_job(self, task: TaskId, cause: str, vms: list[str], now_s: float) -> None:
        """Fail a job because one of its tasks must not be started again."""
        active_job = self.state.job_of(task)
        if active_job is None or active_job.finished:
            return
        self.state.unsaved_jobs.add(task.job_id)
        self._finish_job(active_job, "failed", f"{task} {cause}", now_s, vms=vms)
        self.stop_job(active_job, "job has failed", LossCause.FAILED)

    def stop_job(self, active_job: ActiveJob, cause: str, loss_cause: LossCause) -> None:
        """Stop all attempts of a job."""
        for group in active_job.groups.values():
            self.state.release_claims(group, cause)
            for attempt in list(group.active_attempts()):
                self.state.stop(attempt, cause, loss_cause=loss_cause)

    def _is_vm_at_fault(
        self, active_job: ActiveJob, vm: Vm, attempt: Attempt, now_s: float
    ) -> bool:
        """Return whether this failure alone is attributed to the VM.

        A failure right after the start is, unless the same job, and no other, has failed like this
        on another VM as well.
        """
        if now_s - attempt.ordered_s > EARLY_FAILURE_S:
            return False
        job_id = active_job.job.job_id
        vm.early_failure_jobs.add(job_id)
        active_job.early_failure_vms.add(vm.vm_id)
        others = (self.state.vms.get(name) for name in active_job.early_failure_vms - {vm.vm_id})
        return not any(each is not None and each.early_failure_jobs == {job_id} for each in others)

    def _record_done(
        self, active_job: ActiveJob, group: TaskGroup, task: TaskId, number: int, now_s: float
    ) -> None:
        group.done.update(range(group.step.tasks) if group.step.gang else (task.index,))
        group.checkpoints.pop(group.recorded_index(task.index), None)
        self.state.release_claims(group, "tasks are done", list(group.done))
        if group.step.gang:
            # The members of the same attempt end together.
            others = [each for each in group.active_attempts() if each.number != number]
        else:
            others = group.attempts.get(task.index, ())
        for attempt in others:
            earlier_owner = number < self.state.first_attempt_number
            loss_cause = LossCause.TAKEOVER if earlier_owner else LossCause.LATE_ORDER
            self.state.stop(attempt, "another attempt is done", loss_cause=loss_cause)
        self.state.unsaved_jobs.add(active_job.job.job_id)
        if all(each.complete for each in active_job.groups.values()):
            self._finish_job(active_job, "completed", "all tasks are done", now_s)

    def _count_failure(
        self, active_job: ActiveJob, group: TaskGroup, index: int, number: int, now_s: float
    ) -> None:
        counted = group.recorded_index(index)
        # After a takeover, agents report the ends of several attempts in any order.
        numbers = group.failed_numbers.setdefault(counted, set())
        if number in numbers:
            return
        numbers.add(number)
        group.failures[counted] = group.failures.get(counted, 0) + 1
        self.state.unsaved_jobs.add(active_job.job.job_id)
        if group.failures[counted] >= active_job.queue.failure_limit:
            cause = f"failed {group.failures[counted]} times"
            vms = sorted(group.failed_vms.get(index, ()))
            self.fail_job(group.task_id(index), cause, vms, now_s)

    def _finish_job(
        self, active_job: ActiveJob, state: str, cause: str, now_s: float, **inputs: object
    ) -> None:
        active_job.state = state
        active_job.ended_s = now_s
        due_s = active_job.job.due_s(active_job.job.occurrence_count - 1)
        log_event(
            Event.JOB_ENDED,
            job_id=active_job.job.job_id,
            state=state,
            cause=cause,
            queue=active_job.queue.name,
            took_s=round(now_s + self.state.wall_offset_s - due_s, 3),
            objective_s=round(active_job.objective_s(), 3),
            preemptions=active_job.preemption_count,
            passed_over=active_job.passed_over,
            **inputs,
        )

"""Ends of starts, and what follows from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import AttemptOutcome, AttemptPhase

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._active_jobs import ActiveJob, Group
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._vms import Vm

EARLY_FAILURE_S = 1.0
"""Time after an order in which a failure is rather the VM's than the task's: a tenth of the
shortest usual tasks and the way of the messages."""


class CompletionHandler:
    """Takes over ends.

    Parameters
    ----------
    state
        Where they are noted.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def end_attempt(
        self, vm: Vm, attempt: Attempt, end: AttemptOutcome, checkpoint: str, now_s: float
    ) -> None:
        """Note that a start is over."""
        task = attempt.task
        vm.attempts.pop((task, attempt.number), None)
        vm.missing_since_s.pop((task, attempt.number), None)
        work = self.state.work_of(task)
        if end is AttemptOutcome.DONE:
            vm.record_success(attempt.ordered_s)
        elif end is AttemptOutcome.FAILED:
            vm_at_fault = work is not None and self._is_vm_at_fault(work, vm, attempt, now_s)
            self.record_failure(vm, now_s, vm_at_fault=vm_at_fault)
        if work is None:
            return
        group = work.groups[task.group]
        running = group.attempts.get(task.index, [])
        if attempt in running:
            running.remove(attempt)
        if end is AttemptOutcome.FAILED:
            group.failed_vms.setdefault(task.index, set()).add(vm.vm_id)
        self.record_outcome(task, attempt.number, end, checkpoint, now_s)

    def record_failure(self, vm: Vm, now_s: float, *, vm_at_fault: bool = False) -> None:
        """Note that a task failed on a VM, or stood still there."""
        if vm.record_failure(now_s, vm_at_fault=vm_at_fault):
            log_event(
                Event.ENDPOINT_EJECTED,
                vm=vm.vm_id,
                failures=vm.consecutive_failures,
                for_s=round(vm.quarantined_until_s - now_s, 3),
            )

    def record_outcome(
        self, task: TaskId, number: int, end: AttemptOutcome, checkpoint: str, now_s: float
    ) -> None:
        """Note what an end means for its task and job."""
        work = self.state.work_of(task)
        if work is None or work.finished:
            return
        group = work.groups[task.group]
        self.state.record_checkpoint(task, checkpoint, ended=True)
        if end is AttemptOutcome.DONE and not group.step.lasting:
            self._record_done(work, group, task, now_s)
            return
        if end is AttemptOutcome.FAILED and not group.step.lasting and task.index not in group.done:
            self._count_failure(work, group, task.index, number, now_s)
        if group.step.gang and not work.finished and not group.complete:
            for attempt in list(group.active_attempts()):
                if attempt.number == number:
                    self.state.stop(attempt, f"member {task.index} of the gang is {end}")

    def stop_job(self, work: ActiveJob, cause: str) -> None:
        """Stop all that a job runs."""
        for group in work.groups.values():
            self.state.release_claims(group)
            for attempt in list(group.active_attempts()):
                self.state.stop(attempt, cause)

    def _is_vm_at_fault(self, work: ActiveJob, vm: Vm, attempt: Attempt, now_s: float) -> bool:
        """Return whether a failure shows by itself that the VM is at fault.

        It does so right after the start, unless the job alone has failed so on other VMs as well.
        """
        if now_s - attempt.ordered_s > EARLY_FAILURE_S:
            return False
        job_id = work.job.job_id
        vm.early_failure_jobs.add(job_id)
        work.early_failure_vms.add(vm.vm_id)
        others = (self.state.vms.get(name) for name in work.early_failure_vms - {vm.vm_id})
        return not any(each is not None and each.early_failure_jobs == {job_id} for each in others)

    def _record_done(self, work: ActiveJob, group: Group, task: TaskId, now_s: float) -> None:
        group.done.update(range(group.step.tasks) if group.step.gang else (task.index,))
        group.checkpoints.pop(group.record_index(task.index), None)
        self.state.release_claims(group, list(group.done))
        for attempt in group.attempts.get(task.index, ()):
            if not group.step.gang and attempt.phase is not AttemptPhase.STOPPING:
                self.state.stop(attempt, "another copy is done")
        self.state.unsaved_jobs.add(work.job.job_id)
        if all(each.complete for each in work.groups.values()):
            self._finish_job(work, "completed", "all tasks are done", now_s)

    def _count_failure(
        self, work: ActiveJob, group: Group, index: int, number: int, now_s: float
    ) -> None:
        counted = group.record_index(index)
        if number <= group.last_failed_numbers.get(counted, 0):
            return
        group.last_failed_numbers[counted] = number
        group.failures[counted] = group.failures.get(counted, 0) + 1
        self.state.unsaved_jobs.add(work.job.job_id)
        if group.failures[counted] >= work.queue.failure_limit:
            vms = sorted(group.failed_vms.get(index, ()))
            cause = f"{group.task_id(index)} failed {group.failures[counted]} times"
            self._finish_job(work, "failed", cause, now_s, vms=vms)
            self.stop_job(work, "failed too often")

    def _finish_job(
        self, work: ActiveJob, state: str, cause: str, now_s: float, **inputs: object
    ) -> None:
        work.state = state
        work.ended_s = now_s
        log_event(Event.JOB_ENDED, job_id=work.job.job_id, state=state, cause=cause, **inputs)

"""Handling of attempt outcomes and of lost VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_scheduling.decisions import (
    Abandon,
    Cause,
    Failed,
    Finished,
    Lost,
    NotStarted,
    PreemptMode,
    Stopped,
)

if TYPE_CHECKING:
    from briardeal_scheduling.decisions import Decision, Outcome
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._state import SchedulerState

NOT_STARTED_RETRY_S = 1.0
"""Delay before a job is placed again after a task could not be reserved on its VM, in seconds."""


def handle_outcome(
    state: SchedulerState, job: Job, outcome: Outcome, now_s: float, decisions: list[Decision]
) -> None:
    """Remove, requeue or abandon a job, depending on the outcome of its attempt."""
    if isinstance(outcome, Finished):
        _handle_finished(state, job, now_s)
    elif job.cancelled:
        state.remove_job(job)
    elif isinstance(outcome, Failed):
        _handle_failed(state, job, outcome.worker_id, now_s, decisions)
    elif isinstance(outcome, Lost):
        job.record.add(now_s, Cause.LOST_WORKER, worker=outcome.worker_id)
        _requeue_or_abandon(state, job, now_s, decisions)
    elif isinstance(outcome, Stopped):
        _handle_stopped(state, job, outcome, now_s, decisions)
    elif isinstance(outcome, NotStarted):
        job.record.add(now_s, Cause.NOT_STARTED, worker=outcome.worker_id)
        job.retry_at_s = now_s + NOT_STARTED_RETRY_S
        state.requeue(job)


def remove_lost_worker(
    state: SchedulerState, worker_id: str, now_s: float, decisions: list[Decision]
) -> list[str]:
    """Remove a VM and return the jobs that had tasks on it."""
    lost = list(state.fleet.workers[worker_id].tasks)
    for job in list(state.table.reclaiming.values()):
        if worker_id in job.placement.workers:
            state.requeue(job)
    for job in state.table.waiting.values():
        if job.reservation and worker_id in job.reservation.workers:
            job.reservation = None
    for job_id in lost:
        handle_outcome(state, state.table.jobs[job_id], Lost(worker_id), now_s, decisions)
    state.ledger.replace_lost_worker(state.fleet, worker_id)
    state.fleet.remove(worker_id)
    return lost


def _handle_finished(state: SchedulerState, job: Job, now_s: float) -> None:
    request = job.request
    run_s = job.elapsed_s(now_s)
    if run_s:
        state.history.record_run(request.customer, request.job_class, request.declared_run_s, run_s)
    state.failure_tracker.record_success(job.job_id, job.placement.workers)
    for worker_id in job.placement.workers:
        if worker_id in state.fleet.workers and not state.fleet.workers[worker_id].usable:
            _end_quarantine(state, worker_id)
    job.record.add(now_s, Cause.FINISHED)
    state.remove_job(job)


def _end_quarantine(state: SchedulerState, worker_id: str) -> None:
    state.fleet.set_usable(worker_id, usable=True)
    state.ledger.stale = True


def _handle_failed(
    state: SchedulerState, job: Job, worker_id: str, now_s: float, decisions: list[Decision]
) -> None:
    job.record.add(now_s, Cause.FAILED_ON_WORKER, worker=worker_id)
    if state.failure_tracker.record_failure(job.job_id, worker_id, now_s):
        state.fleet.set_usable(worker_id, usable=False)
        state.ledger.stale = True
    if state.failure_tracker.fails_everywhere(job.job_id):
        count = len(state.failure_tracker.failed_workers(job.job_id))
        _abandon(state, job, Cause.GAVE_UP_FAILS_EVERYWHERE, now_s, decisions, count=count)
        return
    retry_at_s = now_s + state.failure_tracker.retry_delay_s(job.job_id)
    _requeue_or_abandon(state, job, now_s, decisions)
    job.retry_at_s = retry_at_s


def _handle_stopped(
    state: SchedulerState, job: Job, outcome: Stopped, now_s: float, decisions: list[Decision]
) -> None:
    request = job.request
    if outcome.checkpointed:
        if job.preempt_mode is PreemptMode.CHECKPOINT:
            checkpoint_s = now_s - job.preempted_at_s
            state.history.record_checkpoint(request.customer, request.job_class, checkpoint_s)
        job.record_checkpoint(now_s)
        job.record.add(now_s, Cause.RESUMED_FROM_CHECKPOINT)
    else:
        job.record.add(now_s, Cause.STOPPED_WITHOUT_CHECKPOINT)
    _requeue_or_abandon(state, job, now_s, decisions)


def _requeue_or_abandon(
    state: SchedulerState, job: Job, now_s: float, decisions: list[Decision]
) -> None:
    if job.cancelled:
        state.remove_job(job)
    elif job.request.idempotent:
        state.requeue(job)
    else:
        _abandon(state, job, Cause.GAVE_UP_MAY_HAVE_RUN, now_s, decisions)


def _abandon(
    state: SchedulerState,
    job: Job,
    cause: Cause,
    now_s: float,
    decisions: list[Decision],
    **fields: object,
) -> None:
    entry = job.record.add(now_s, cause, **fields)
    decisions.append(Abandon(job.job_id, entry.format_sentence(now_s)))
    state.remove_job(job)

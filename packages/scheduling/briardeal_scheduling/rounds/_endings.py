"""What follows from the end of an attempt and from the loss of a VM."""

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
"""Time until a job is placed again after a member could not be reserved."""


def end_attempt(
    state: SchedulerState, job: Job, outcome: Outcome, now_s: float, orders: list[Decision]
) -> None:
    """Settle an attempt by how it ended."""
    if isinstance(outcome, Finished):
        _finish(state, job, now_s)
    elif job.cancelled:
        state.remove_job(job)
    elif isinstance(outcome, Failed):
        _fail(state, job, outcome.worker_id, now_s, orders)
    elif isinstance(outcome, Lost):
        job.record.add(now_s, Cause.LOST_WORKER, worker=outcome.worker_id)
        _run_again(state, job, now_s, orders)
    elif isinstance(outcome, Stopped):
        _stop(state, job, outcome, now_s, orders)
    elif isinstance(outcome, NotStarted):
        job.record.add(now_s, Cause.NOT_STARTED, worker=outcome.worker_id)
        job.retry_at_s = now_s + NOT_STARTED_RETRY_S
        state.requeue(job)


def lose_worker(
    state: SchedulerState, worker_id: str, now_s: float, orders: list[Decision]
) -> list[str]:
    """Take out a VM and return the jobs that were lost with it."""
    lost = list(state.fleet.workers[worker_id].tasks)
    for job in list(state.table.reclaiming.values()):
        if worker_id in job.placement.workers:
            state.requeue(job)
    for job in state.table.waiting.values():
        if job.reservation and worker_id in job.reservation.workers:
            job.reservation = None
    for job_id in lost:
        end_attempt(state, state.table.jobs[job_id], Lost(worker_id), now_s, orders)
    state.ledger.replace_lost_worker(state.fleet, worker_id)
    state.fleet.remove(worker_id)
    return lost


def _finish(state: SchedulerState, job: Job, now_s: float) -> None:
    request = job.request
    run_s = job.elapsed_s(now_s)
    if run_s:
        state.history.record_run(request.customer, request.job_class, request.declared_run_s, run_s)
    state.failure_tracker.record_success(job.job_id, job.placement.workers)
    for worker_id in job.placement.workers:
        if worker_id in state.fleet.workers and not state.fleet.workers[worker_id].usable:
            _use_again(state, worker_id)
    job.record.add(now_s, Cause.FINISHED)
    state.remove_job(job)


def _use_again(state: SchedulerState, worker_id: str) -> None:
    state.fleet.set_usable(worker_id, usable=True)
    state.ledger.stale = True


def _fail(
    state: SchedulerState, job: Job, worker_id: str, now_s: float, orders: list[Decision]
) -> None:
    job.record.add(now_s, Cause.FAILED_ON_WORKER, worker=worker_id)
    if state.failure_tracker.record_failure(job.job_id, worker_id, now_s):
        state.fleet.set_usable(worker_id, usable=False)
        state.ledger.stale = True
    if state.failure_tracker.fails_everywhere(job.job_id):
        count = len(state.failure_tracker.failed_workers(job.job_id))
        _give_up(state, job, Cause.GAVE_UP_FAILS_EVERYWHERE, now_s, orders, count=count)
        return
    retry_at_s = now_s + state.failure_tracker.retry_delay_s(job.job_id)
    _run_again(state, job, now_s, orders)
    job.retry_at_s = retry_at_s


def _stop(
    state: SchedulerState, job: Job, outcome: Stopped, now_s: float, orders: list[Decision]
) -> None:
    request = job.request
    if outcome.checkpointed:
        if job.preempt_mode is PreemptMode.CHECKPOINT:
            taken_s = now_s - job.preempted_at_s
            state.history.record_checkpoint(request.customer, request.job_class, taken_s)
        job.record_checkpoint(now_s)
        job.record.add(now_s, Cause.RESUMED_FROM_CHECKPOINT)
    else:
        job.record.add(now_s, Cause.STOPPED_WITHOUT_CHECKPOINT)
    _run_again(state, job, now_s, orders)


def _run_again(state: SchedulerState, job: Job, now_s: float, orders: list[Decision]) -> None:
    if job.cancelled:
        state.remove_job(job)
    elif job.request.idempotent:
        state.requeue(job)
    else:
        _give_up(state, job, Cause.GAVE_UP_MAY_HAVE_RUN, now_s, orders)


def _give_up(
    state: SchedulerState,
    job: Job,
    cause: Cause,
    now_s: float,
    orders: list[Decision],
    **fields: object,
) -> None:
    entry = job.record.add(now_s, cause, **fields)
    orders.append(Abandon(job.job_id, entry.format_sentence(now_s)))
    state.remove_job(job)

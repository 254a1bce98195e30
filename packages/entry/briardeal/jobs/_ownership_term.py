"""One term of ownership: its running attempts and the retry state of its jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.jobs._attempt import Attempt
from briardeal.jobs._gang_client import Gang
from briardeal.jobs._gang_state import GangState
from briardeal.jobs._records import JobEnded, JobPlaced
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.reasons import Reason
from briardeal_scheduling import Failed, Finished, Lost, NotStarted, Placement, Stopped

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Coroutine

    from briardeal.jobs._attempt import AttemptContext
    from briardeal.jobs._job_scheduler import JobScheduler
    from briardeal.jobs._view import JobView
    from briardeal_core.clock import Clock
    from briardeal_core.metrics import Metrics
    from briardeal_protocol.messages import TaskStatus
    from briardeal_scheduling import Outcome, Start

FINISHED_WHY = "Every task of the job has finished."
CANCELLED_WHY = "The job was cancelled by its customer, and nothing of it runs."
MAY_HAVE_RUN_WHY = "The job may not run twice, and its only run broke off."
FOUND_WHY = "The job was found running and goes on where it runs."
RETRY_REASONS = {
    Failed: Reason.TASK_FAILED,
    Lost: Reason.WORKER_LOST,
    NotStarted: Reason.GANG_NOT_WHOLE,
}


@attrs.define
class RetryState:
    """State for the next attempt at a job, which can be ahead of the records in the log.

    Parameters
    ----------
    attempt
        Number of the newest attempt.
    checkpoints
        Newest checkpoint of each task.
    failures
        Number of attempts in a row that could not be started.
    """

    attempt: int
    checkpoints: tuple[str, ...]
    failures: int = 0


@attrs.define(eq=False)
class OwnershipTerm:
    """A period during which this entry owns the region under one fencing token.

    Parameters
    ----------
    token
        Fencing token of the term.
    context, scheduler, clock, metrics
        Dependencies of the owner.
    spawn
        Runs a coroutine as a task of the owner.
    request_round
        Requests another scheduling round.
    attempts
        Attempts that have not ended, by job.
    attempt_tasks
        Asyncio tasks of these attempts, by job.
    retry_states
        State for the next attempt, by job.
    """

    token: int
    context: AttemptContext
    scheduler: JobScheduler
    clock: Clock
    metrics: Metrics
    spawn: Callable[[Coroutine[None, None, None]], asyncio.Future[None]]
    request_round: Callable[[], None]
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    attempt_tasks: dict[str, asyncio.Future[None]] = attrs.field(factory=dict)
    retry_states: dict[str, RetryState] = attrs.field(factory=dict)

    def end(self) -> None:
        """Abandon all attempts; the next owner of the region discovers their running tasks."""
        for task in self.attempt_tasks.values():
            task.cancel()
        self.attempts.clear()
        self.context.record_queue.clear()

    def retry_state(self, view: JobView) -> RetryState:
        """Return the retry state of a job, which is created from the job table at first use."""
        known = self.retry_states.get(view.job.job_id)
        if known is None:
            known = RetryState(view.attempt, view.checkpoints)
            self.retry_states[view.job.job_id] = known
        return known

    def start_job(self, view: JobView, decision: Start) -> None:
        """Start a job as the scheduler decided."""
        retry_state = self.retry_state(view)
        retry_state.attempt += 1
        gang = self._create_gang(view, retry_state, decision.placement.workers)
        state = GangState(self.context.registry, gang, self.clock.now_s())
        attempt = Attempt(self.context, gang, state, decision.explanation, retry_state.failures)
        self._spawn_attempt(view, attempt, adopted=False)

    def adopt_recorded(self, view: JobView) -> None:
        """Take over the newest attempt of a job that is recorded in the log."""
        gang = self._create_gang(view, self.retry_state(view), view.workers)
        was_fully_running = view.state is JobState.RUNNING
        state = GangState(self.context.registry, gang, view.placed_at_s, was_fully_running)
        self._adopt_attempt(view, state, run_s=self.clock.now_s() - view.placed_at_s)

    def adopt_unrecorded(self, view: JobView, status: TaskStatus) -> None:
        """Take over an attempt that an earlier owner started without a record in the log."""
        retry_state = self.retry_state(view)
        retry_state.attempt = status.attempt
        gang = self._create_gang(view, retry_state, status.workers)
        self.context.record_queue.add(
            JobPlaced(
                job_id=status.job_id,
                attempt=status.attempt,
                workers=status.workers,
                token=self.token,
                why=FOUND_WHY,
            )
        )
        state = GangState(self.context.registry, gang, was_fully_running=True)
        self._adopt_attempt(view, state, run_s=status.run_s)

    def end_job(self, job_id: str, state: JobState, why: str) -> None:
        """Record the final state of a job."""
        self.retry_states.pop(job_id, None)
        self.context.record_queue.add(
            JobEnded(job_id=job_id, state=state, why=why, token=self.token)
        )
        log_event(Event.JOB_ENDED, job=job_id, state=state.value)

    def _create_gang(
        self, view: JobView, retry_state: RetryState, workers: tuple[str, ...]
    ) -> Gang:
        return Gang(view.job, retry_state.attempt, workers, self.token, retry_state.checkpoints)

    def _adopt_attempt(self, view: JobView, state: GangState, run_s: float) -> None:
        gang = state.gang
        placement = Placement(gang.workers, view.job.accelerators_per_task)
        started_s = loop_time() - max(0.0, run_s)
        self.scheduler.adopt(view.job, placement, started_s, gang.attempt)
        log_event(Event.JOB_ADOPTED, job=gang.job.job_id, attempt=gang.attempt)
        self._spawn_attempt(view, Attempt(self.context, gang, state, FOUND_WHY), adopted=True)

    def _spawn_attempt(self, view: JobView, attempt: Attempt, adopted: bool) -> None:
        job_id = view.job.job_id
        self.attempts[job_id] = attempt
        self.attempt_tasks[job_id] = self.spawn(self._run_attempt(view, attempt, adopted))

    async def _run_attempt(self, view: JobView, attempt: Attempt, adopted: bool) -> None:
        job_id = view.job.job_id

        def on_started() -> None:
            self.scheduler.report_started(job_id, loop_time())
            log_event(Event.JOB_STARTED, job=job_id, attempt=attempt.gang.attempt)

        outcome = await attempt.run(on_started, adopted)
        del self.attempts[job_id]
        del self.attempt_tasks[job_id]
        self._update_retry_state(view, attempt, outcome)
        log_event(
            Event.ATTEMPT_ENDED,
            job=job_id,
            attempt=attempt.gang.attempt,
            outcome=type(outcome).__name__.lower(),
        )
        self._report_outcome(view, attempt, outcome)
        self.request_round()

    def _update_retry_state(self, view: JobView, attempt: Attempt, outcome: Outcome) -> None:
        retry_state = self.retry_state(view)
        retry_state.checkpoints = attempt.checkpoints or retry_state.checkpoints
        retry_state.failures = retry_state.failures + 1 if isinstance(outcome, NotStarted) else 0
        if type(outcome) in RETRY_REASONS:
            self.metrics.count_retry(RETRY_REASONS[type(outcome)])

    def _report_outcome(self, view: JobView, attempt: Attempt, outcome: Outcome) -> None:
        job_id = view.job.job_id
        if isinstance(outcome, Finished):
            self.end_job(job_id, JobState.FINISHED, FINISHED_WHY)
        elif view.cancelled or attempt.cancelled:
            outcome = Stopped()
            self.end_job(job_id, JobState.CANCELLED, CANCELLED_WHY)
        elif not attempt.may_run_again(outcome):
            self.scheduler.report_started(job_id, loop_time())
            self.end_job(job_id, JobState.FAILED, MAY_HAVE_RUN_WHY)
        self.scheduler.report_ended(job_id, outcome, loop_time())

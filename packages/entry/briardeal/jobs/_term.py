"""One time of ownership: the attempts that it conducts and what it knows of each job."""

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
class JobMemory:
    """What the owner knows of a job beyond what it has read from the log.

    Parameters
    ----------
    attempt
        Number of the newest start.
    checkpoints
        Newest checkpoint of each task.
    failures
        Starts in a row of which nothing ran.
    """

    attempt: int
    checkpoints: tuple[str, ...]
    failures: int = 0


@attrs.define(eq=False)
class Term:
    """One time of ownership.

    Parameters
    ----------
    token
        Fencing token.
    context, scheduler, clock, metrics
        What the owner works with.
    spawn
        Runs a coroutine as a task of the owner.
    wake
        Asks for a round of decisions.
    attempts
        Starts that are not over, by job.
    """

    token: int
    context: AttemptContext
    scheduler: JobScheduler
    clock: Clock
    metrics: Metrics
    spawn: Callable[[Coroutine[None, None, None]], asyncio.Future[None]]
    wake: Callable[[], None]
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Future[None]] = attrs.field(factory=dict)
    memories: dict[str, JobMemory] = attrs.field(factory=dict)

    def end(self) -> None:
        """Drop all attempts; whoever owns the region next finds what runs."""
        for task in self.tasks.values():
            task.cancel()
        self.attempts.clear()
        self.context.outbox.clear()

    def memory(self, view: JobView) -> JobMemory:
        """Return what is known of a job."""
        known = self.memories.get(view.job.job_id)
        if known is None:
            known = JobMemory(view.attempt, view.checkpoints)
            self.memories[view.job.job_id] = known
        return known

    def start(self, view: JobView, decision: Start) -> None:
        """Carry out a decision to start a job."""
        memory = self.memory(view)
        memory.attempt += 1
        gang = self._gang(view, memory, decision.placement.workers)
        state = GangState(self.context.members, gang, self.clock.now_s())
        attempt = Attempt(self.context, gang, state, decision.explanation, memory.failures)
        self._begin(view, attempt, adopted=False)

    def adopt(self, view: JobView) -> None:
        """Take over the last start of a job as the log tells it."""
        gang = self._gang(view, self.memory(view), view.workers)
        was_whole = view.state is JobState.RUNNING
        state = GangState(self.context.members, gang, view.placed_at_s, was_whole)
        self._adopt(view, state, run_s=self.clock.now_s() - view.placed_at_s)

    def adopt_unrecorded(self, view: JobView, status: TaskStatus) -> None:
        """Take over a start that an earlier owner made while it could not write to the log."""
        memory = self.memory(view)
        memory.attempt = status.attempt
        gang = self._gang(view, memory, status.workers)
        self.context.outbox.add(
            JobPlaced(
                job_id=status.job_id,
                attempt=status.attempt,
                workers=status.workers,
                token=self.token,
                why=FOUND_WHY,
            )
        )
        state = GangState(self.context.members, gang, was_whole=True)
        self._adopt(view, state, run_s=status.run_s)

    def end_job(self, job_id: str, state: JobState, why: str) -> None:
        """Record that a job has come to its end."""
        self.memories.pop(job_id, None)
        self.context.outbox.add(JobEnded(job_id=job_id, state=state, why=why, token=self.token))
        log_event(Event.JOB_ENDED, job=job_id, state=state.value)

    def _gang(self, view: JobView, memory: JobMemory, workers: tuple[str, ...]) -> Gang:
        return Gang(view.job, memory.attempt, workers, self.token, memory.checkpoints)

    def _adopt(self, view: JobView, state: GangState, run_s: float) -> None:
        gang = state.gang
        placement = Placement(gang.workers, view.job.accelerators_per_task)
        started_s = loop_time() - max(0.0, run_s)
        self.scheduler.adopt(view.job, placement, started_s, gang.attempt)
        log_event(Event.JOB_ADOPTED, job=gang.job.job_id, attempt=gang.attempt)
        self._begin(view, Attempt(self.context, gang, state, FOUND_WHY), adopted=True)

    def _begin(self, view: JobView, attempt: Attempt, adopted: bool) -> None:
        job_id = view.job.job_id
        self.attempts[job_id] = attempt
        self.tasks[job_id] = self.spawn(self._conduct(view, attempt, adopted))

    async def _conduct(self, view: JobView, attempt: Attempt, adopted: bool) -> None:
        job_id = view.job.job_id

        def on_started() -> None:
            self.scheduler.report_started(job_id, loop_time())
            log_event(Event.JOB_STARTED, job=job_id, attempt=attempt.gang.attempt)

        outcome = await attempt.run(on_started, adopted)
        del self.attempts[job_id]
        del self.tasks[job_id]
        self._remember(view, attempt, outcome)
        log_event(
            Event.ATTEMPT_ENDED,
            job=job_id,
            attempt=attempt.gang.attempt,
            outcome=type(outcome).__name__.lower(),
        )
        self._report(view, attempt, outcome)
        self.wake()

    def _remember(self, view: JobView, attempt: Attempt, outcome: Outcome) -> None:
        memory = self.memory(view)
        memory.checkpoints = attempt.checkpoints or memory.checkpoints
        memory.failures = memory.failures + 1 if isinstance(outcome, NotStarted) else 0
        if type(outcome) in RETRY_REASONS:
            self.metrics.count_retry(RETRY_REASONS[type(outcome)])

    def _report(self, view: JobView, attempt: Attempt, outcome: Outcome) -> None:
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

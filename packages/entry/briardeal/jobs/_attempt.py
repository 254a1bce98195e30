"""One attempt at a job, from its placement until its last task has ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal.jobs._records import AttemptClosing, AttemptEnded, JobPlaced, JobStarted
from briardeal.jobs.ownership import LeaseState
from briardeal_core.clock import loop_time
from briardeal_scheduling import Failed, Finished, Lost, NotStarted, Stopped

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briardeal.jobs._gang_client import Gang, GangClient
    from briardeal.jobs._gang_state import GangState
    from briardeal.jobs._record_queue import RecordQueue
    from briardeal.jobs._worker_registry import WorkerRegistry
    from briardeal_protocol.messages import StopMode
    from briardeal_scheduling import Outcome

POLL_S = 2.0
LEASE_POLL_S = 0.25
START_TIMEOUT_S = 10.0
"""Time from the start order within which every member of a gang must run."""

STOP_TIMEOUT_S = 30.0
"""Time within which a gang that was ordered to stop must write its checkpoints."""

RESTART_WAIT_S = 80.0
"""Time after an `AttemptClosing` record by which tasks on unreachable workers have stopped.

It exceeds the time in which every entry reads the record, plus the `MEMBER_TTL_S` of the agents.
"""

STOP_INTERVAL_S = 2.0
WAIT_MIN_S = 0.01
"""Shortest wait; a shorter one could be rounded to zero."""

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 5.0
CLOSING_WHY = "The start is given up: {cause}"
ENDED_WHY = "The start is over: {cause}"


@attrs.frozen
class AttemptContext:
    """Dependencies that all attempts of one owner share.

    Parameters
    ----------
    registry
        Connected worker agents and their tasks.
    gang_client
        Sends orders to the agents.
    record_queue
        Records that wait to be written to the log.
    lease_state
        Returns the state of this entry's owner lease; without a lease it may not start jobs.
    rng
        Random numbers for the back-off.
    """

    registry: WorkerRegistry
    gang_client: GangClient
    record_queue: RecordQueue
    lease_state: Callable[[], LeaseState]
    rng: random.Random


@attrs.define(eq=False)
class Attempt:
    """One attempt to run a job.

    Parameters
    ----------
    context
        Dependencies that all attempts share.
    gang
        The job, its workers and the number of the attempt.
    state
        State of the gang as its agents report it.
    explanation
        Why the job was placed on these workers, in one sentence.
    failures
        Number of launches of the job that failed in a row before this one, for the back-off.
    cancelled
        Whether the customer cancelled the job.
    stop_mode
        How the gang was last ordered to stop; `None` if it was not.
    may_have_started
        Whether any member may have received a start order.
    checkpoints
        Newest checkpoint of each task when the attempt ended; empty without checkpoints.
    changed
        Set when the state of the gang or a request to stop it has changed.
    """

    context: AttemptContext
    gang: Gang
    state: GangState
    explanation: str
    failures: int = 0
    cancelled: bool = False
    stop_mode: StopMode | None = None
    may_have_started: bool = False
    checkpoints: tuple[str, ...] = ()
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, on_started: Callable[[], None], adopted: bool = False) -> Outcome:
        """Run the attempt until none of its tasks runs any more, and return its outcome."""
        self.may_have_started = adopted
        outcome = None if adopted else await self._launch()
        if outcome is None:
            self.state.transition_until_s = loop_time() + START_TIMEOUT_S
            outcome = await self._watch(on_started)
        return outcome if isinstance(outcome, Finished) else await self._wait_stopped(outcome)

    def may_run_again(self, outcome: Outcome) -> bool:
        """Return whether the job may be started again after this outcome."""
        return self.gang.job.idempotent or isinstance(outcome, NotStarted)

    def request_stop(self, mode: StopMode) -> None:
        """Request that the gang is stopped or throttled."""
        self.stop_mode = mode
        self.changed.set()

    def cancel(self) -> None:
        """Request that the gang is stopped because its job was cancelled."""
        self.cancelled = True
        self.changed.set()

    async def _launch(self) -> Outcome | None:
        placement_written = self.context.record_queue.add(
            JobPlaced(
                job_id=self.gang.job.job_id,
                attempt=self.gang.attempt,
                workers=self.gang.workers,
                token=self.gang.token,
                why=self.explanation,
            )
        )
        while not self._may_start(placement_written):
            if self.cancelled:
                return NotStarted(self.gang.workers[0])
            if placement_written.done():
                await asyncio.sleep(LEASE_POLL_S)
            else:
                await asyncio.wait([placement_written], timeout=LEASE_POLL_S)
        missing = await self.context.gang_client.reserve(self.gang)
        if missing or not self._may_start(placement_written):
            await self.context.gang_client.stop(self.gang)
            await self._back_off()
            return NotStarted((missing or self.gang.workers)[0])
        self.may_have_started = True
        await self.context.gang_client.start(self.gang)
        return None

    def _may_start(self, placement_written: asyncio.Future[None]) -> bool:
        """Return whether the gang may be started.

        While its placement is not yet in the log, only an idempotent job may start, and only with
        a lease that the peers confirm.
        """
        lease_state = self.context.lease_state()
        if placement_written.done():
            return lease_state is not LeaseState.NONE
        return lease_state is LeaseState.PEER_CONFIRMED and self.gang.job.idempotent

    async def _back_off(self) -> None:
        max_delay_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**self.failures)
        await asyncio.sleep(self.context.rng.uniform(0, max_delay_s))

    async def _watch(self, on_started: Callable[[], None]) -> Outcome:
        started = False
        sent_mode: StopMode | None = None
        while (outcome := self._evaluate_outcome()) is None:
            if self.state.was_fully_running and not started:
                started = True
                self._record_started()
                on_started()
            if self.stop_mode is not sent_mode:
                sent_mode = self.stop_mode
                self.state.transition_until_s = loop_time() + STOP_TIMEOUT_S
                await self.context.gang_client.stop(self.gang, sent_mode)
            else:
                await self._wait(POLL_S)
        if self.state.was_fully_running and not started:
            on_started()
        return outcome

    def _evaluate_outcome(self) -> Outcome | None:
        outcome = self.state.evaluate(self.stop_mode)
        return Stopped() if outcome is None and self.cancelled else outcome

    async def _wait_stopped(self, outcome: Outcome) -> Outcome:
        """Wait until no task of the attempt runs, and return its final outcome.

        An `AttemptEnded` record, which puts the job back in the queue, is written only if the job
        may run again. Otherwise the attempt stays open in the log until the owner records the end
        of the job.
        """
        closing: asyncio.Future[None] | None = None
        unreachable_stopped_s = float("inf")
        next_stop_s = 0.0
        while self.may_have_started and not self.state.is_stopped(
            loop_time() >= unreachable_stopped_s
        ):
            closing = closing or self.context.record_queue.add(self._create_closing_record(outcome))
            if closing.done():
                unreachable_stopped_s = min(unreachable_stopped_s, loop_time() + RESTART_WAIT_S)
            if loop_time() >= next_stop_s:
                next_stop_s = loop_time() + STOP_INTERVAL_S
                await self.context.gang_client.stop(self.gang)
            else:
                await self._wait(max(WAIT_MIN_S, next_stop_s - loop_time()))
        if isinstance(self.state.evaluate(None), Finished):
            return Finished()
        self.checkpoints = self.state.checkpoints
        if self.may_run_again(outcome):
            self.context.record_queue.add(self._create_ended_record(outcome))
        return outcome

    def _create_ended_record(self, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(
            job_id=self.gang.job.job_id,
            attempt=self.gang.attempt,
            token=self.gang.token,
            why=ENDED_WHY.format(cause=_describe_outcome(outcome)),
            checkpoints=self.checkpoints,
        )

    def _create_closing_record(self, outcome: Outcome) -> AttemptClosing:
        return AttemptClosing(
            job_id=self.gang.job.job_id,
            attempt=self.gang.attempt,
            token=self.gang.token,
            why=CLOSING_WHY.format(cause=_describe_outcome(outcome)),
        )

    def _record_started(self) -> None:
        self.context.record_queue.add(
            JobStarted(
                job_id=self.gang.job.job_id, attempt=self.gang.attempt, token=self.gang.token
            )
        )

    async def _wait(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()


def _describe_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, Failed):
        return f"a task failed on {outcome.worker_id}."
    if isinstance(outcome, Lost):
        return f"the task on {outcome.worker_id} was lost."
    if isinstance(outcome, NotStarted):
        return f"not every task could start; {outcome.worker_id} could not."
    return "it was stopped as ordered."

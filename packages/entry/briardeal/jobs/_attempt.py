"""One start of a job, from its placement to the end of its last task."""

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
    from briardeal.jobs._members import Members
    from briardeal.jobs._outbox import Outbox
    from briardeal_protocol.messages import StopMode
    from briardeal_scheduling import Outcome

POLL_S = 2.0
RIGHT_POLL_S = 0.25
START_SETTLE_S = 10.0
"""How long a gang may take from the start order until every member runs."""

LEAVE_SETTLE_S = 30.0
"""How long a gang may take to write its checkpoints."""

RESTART_WAIT_S = 80.0
"""When tasks on a worker out of reach have surely stopped, after the log took the closing.

Longer than it takes every entry to read the closing, together with `MEMBER_TTL_S` of the agents.
"""

STOP_INTERVAL_S = 2.0
WAIT_MIN_S = 0.01
"""Shortest wait, so that none rounds to nothing."""

BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 5.0
CLOSING_WHY = "The start is given up: {cause}"
ENDED_WHY = "The start is over: {cause}"


@attrs.frozen
class AttemptContext:
    """What every attempt of one owner uses.

    Parameters
    ----------
    members, gang_client
        Agents in reach, and orders to them.
    outbox
        Records on their way to the log.
    lease_state
        Returns the state of this entry's owner lease, which decides whether it may start jobs.
    rng
        Source of jitter.
    """

    members: Members
    gang_client: GangClient
    outbox: Outbox
    lease_state: Callable[[], LeaseState]
    rng: random.Random


@attrs.define(eq=False)
class Attempt:
    """One start of a job.

    Parameters
    ----------
    context
        What all attempts share.
    gang
        The job, its workers and the number of the start.
    state
        How the gang stands.
    why
        The decision in a sentence.
    failures
        Failed launches of the job just before, for the back-off.
    cancelled
        Whether the customer wants the job no more.
    leaving
        How the gang was told to leave, if it was.
    ordered
        Whether any member may have been told to start.
    checkpoints
        Checkpoint of each task that the gang left, if it did.
    """

    context: AttemptContext
    gang: Gang
    state: GangState
    why: str
    failures: int = 0
    cancelled: bool = False
    leaving: StopMode | None = None
    ordered: bool = False
    checkpoints: tuple[str, ...] = ()
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self, on_started: Callable[[], None], adopted: bool = False) -> Outcome:
        """Carry the attempt to its end and return how it ended; nothing of it runs then."""
        self.ordered = adopted
        outcome = None if adopted else await self._launch()
        if outcome is None:
            self.state.settle_until_s = loop_time() + START_SETTLE_S
            outcome = await self._watch(on_started)
        return outcome if isinstance(outcome, Finished) else await self._close(outcome)

    def may_run_again(self, outcome: Outcome) -> bool:
        """Return whether the job may be started again after it ended like this."""
        return self.gang.job.idempotent or isinstance(outcome, NotStarted)

    def leave(self, mode: StopMode) -> None:
        """Have the gang stopped or throttled."""
        self.leaving = mode
        self.changed.set()

    def cancel(self) -> None:
        """Stop the gang for good."""
        self.cancelled = True
        self.changed.set()

    async def _launch(self) -> Outcome | None:
        placed = self.context.outbox.add(
            JobPlaced(
                job_id=self.gang.job.job_id,
                attempt=self.gang.attempt,
                workers=self.gang.workers,
                token=self.gang.token,
                why=self.why,
            )
        )
        while not self._may_start(placed):
            if self.cancelled:
                return NotStarted(self.gang.workers[0])
            if placed.done():
                await asyncio.sleep(RIGHT_POLL_S)
            else:
                await asyncio.wait([placed], timeout=RIGHT_POLL_S)
        missing = await self.context.gang_client.reserve(self.gang)
        if missing or not self._may_start(placed):
            await self.context.gang_client.stop(self.gang)
            await self._back_off()
            return NotStarted((missing or self.gang.workers)[0])
        self.ordered = True
        await self.context.gang_client.start(self.gang)
        return None

    def _may_start(self, placed: asyncio.Future[None]) -> bool:
        """Return whether the gang may start; without its record, only one that may run twice."""
        lease_state = self.context.lease_state()
        if placed.done():
            return lease_state is not LeaseState.NONE
        return lease_state is LeaseState.PEER_CONFIRMED and self.gang.job.idempotent

    async def _back_off(self) -> None:
        longest_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**self.failures)
        await asyncio.sleep(self.context.rng.uniform(0, longest_s))

    async def _watch(self, on_started: Callable[[], None]) -> Outcome:
        started = False
        ordered: StopMode | None = None
        while (outcome := self._judge()) is None:
            if self.state.was_whole and not started:
                started = True
                self._record_start()
                on_started()
            if self.leaving is not ordered:
                ordered = self.leaving
                self.state.settle_until_s = loop_time() + LEAVE_SETTLE_S
                await self.context.gang_client.stop(self.gang, ordered)
            else:
                await self._wait(POLL_S)
        if self.state.was_whole and not started:
            on_started()
        return outcome

    def _judge(self) -> Outcome | None:
        outcome = self.state.judge(self.leaving)
        return Stopped() if outcome is None and self.cancelled else outcome

    async def _close(self, outcome: Outcome) -> Outcome:
        """Wait until nothing of the attempt runs and return how it ended after all.

        Only a job that may run again is recorded as waiting; any other stays in the hands of the
        owner until its end is recorded.
        """
        closing: asyncio.Future[None] | None = None
        lapses_s = float("inf")
        next_stop_s = 0.0
        while self.ordered and not self.state.is_settled(loop_time() >= lapses_s):
            closing = closing or self.context.outbox.add(self._closing(outcome))
            if closing.done():
                lapses_s = min(lapses_s, loop_time() + RESTART_WAIT_S)
            if loop_time() >= next_stop_s:
                next_stop_s = loop_time() + STOP_INTERVAL_S
                await self.context.gang_client.stop(self.gang)
            else:
                await self._wait(max(WAIT_MIN_S, next_stop_s - loop_time()))
        if isinstance(self.state.judge(None), Finished):
            return Finished()
        self.checkpoints = self.state.checkpoints
        if self.may_run_again(outcome):
            self.context.outbox.add(self._ended(outcome))
        return outcome

    def _ended(self, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(
            job_id=self.gang.job.job_id,
            attempt=self.gang.attempt,
            token=self.gang.token,
            why=ENDED_WHY.format(cause=_say(outcome)),
            checkpoints=self.checkpoints,
        )

    def _closing(self, outcome: Outcome) -> AttemptClosing:
        return AttemptClosing(
            job_id=self.gang.job.job_id,
            attempt=self.gang.attempt,
            token=self.gang.token,
            why=CLOSING_WHY.format(cause=_say(outcome)),
        )

    def _record_start(self) -> None:
        self.context.outbox.add(
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


def _say(outcome: Outcome) -> str:
    if isinstance(outcome, Failed):
        return f"a task failed on {outcome.worker_id}."
    if isinstance(outcome, Lost):
        return f"the task on {outcome.worker_id} was lost."
    if isinstance(outcome, NotStarted):
        return f"not every task could start; {outcome.worker_id} could not."
    return "it was stopped as ordered."

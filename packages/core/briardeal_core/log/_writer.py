"""Writing of typed records to a stream, once each."""

from __future__ import annotations

import asyncio
import math
import uuid
from typing import TYPE_CHECKING

from mode import Service

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log._budget import AppendRateLimiter, Priority
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._queue import InFlight, PendingRecord, RecordQueue, Written
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    import random

    import msgspec

    from briardeal_core.log._model import Log
    from briardeal_core.log._records import Schema

BATCH_LIMIT_RECORDS = 100
BATCH_LIMIT_BYTES = 256 * 1024
APPEND_DEADLINE_S = 5.0
MAX_APPEND_DEADLINE_S = 600.0
"""Longest deadline, well within the time for which readers recognise copies."""

RETRY_BASE_S = 0.1
RETRY_CAP_S = 2.0
SETTLE_READ_LIMIT = 500
END_STALE_S = 60.0
"""Age from which the end of the stream is asked for anew, so that reading back stays short."""


class StreamWriter(Service):
    """Appends records to one stream in batches, within a rate shared by the process.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream.
    schema
        The records of the stream.
    budget
        Rate shared by all writers of the process.
    rng
        Source of jitter and of append identifiers.
    batch_limit_records
        Most records in one append; 1 where each record needs an offset of its own.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        schema: Schema,
        budget: AppendRateLimiter,
        rng: random.Random,
        batch_limit_records: int = BATCH_LIMIT_RECORDS,
    ) -> None:
        super().__init__()
        self.target = log
        self.stream = stream
        self.schema = schema
        self.budget = budget
        self.rng = rng
        self.batch_limit_records = batch_limit_records
        self.queue = RecordQueue()
        self.uncertain_appends = 0
        self._read_from = 0
        self._end_known_at_s = -math.inf
        self._in_flight = InFlight([], "")

    async def append(
        self,
        record: msgspec.Struct,
        priority: Priority = Priority.ACCEPTANCE,
        deadline_s: float = APPEND_DEADLINE_S,
    ) -> Written | Refusal:
        """Append one record and wait until it is known to stand in the log.

        Parameters
        ----------
        record
            The record, of a kind of the schema.
        priority
            What goes first when the rate is short.
        deadline_s
            Seconds from now after which an answer is given in any case.

        Returns
        -------
        Written | Refusal
            A refusal says `not_run` only where the record can't come to stand in the log.
        """
        if self.should_stop:
            return _refuse(Reason.SHUTTING_DOWN)
        outcome = asyncio.get_running_loop().create_future()
        pending = PendingRecord(self.schema.encode(record), priority, outcome)
        if not self.queue.push(pending):
            return _refuse(Reason.LOG_BACKLOG, retry_after_s=deadline_s)
        try:
            async with asyncio.timeout(min(deadline_s, MAX_APPEND_DEADLINE_S)):
                return await outcome
        except TimeoutError:
            return self._answer_late(pending)
        finally:
            self._withdraw(pending)

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            await self._wait_turn()
            taken = self.queue.take(self.batch_limit_records, BATCH_LIMIT_BYTES)
            append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
            self._in_flight = InFlight(taken, append_id)
            await self._write_batch()

    async def on_stop(self) -> None:
        """Answer everyone who still waits."""
        for pending in self.queue.drain():
            pending.resolve(_refuse(Reason.SHUTTING_DOWN))
        for pending in tuple(self._in_flight.records):
            uncertain = self._in_flight.withdraw(pending)
            run_state = RunState.UNKNOWN if uncertain else RunState.NOT_RUN
            pending.resolve(_refuse(Reason.SHUTTING_DOWN, run_state))

    async def _wait_turn(self) -> None:
        while True:
            priority = await self.queue.wait()
            wait_s = self.budget.try_acquire(priority)
            if wait_s == 0:
                return
            await self.queue.wait_push(wait_s)

    async def _write_batch(self) -> None:
        """Try one append until it is settled or nobody waits for it any more."""
        await self._note_end()
        attempt = 0
        while self._in_flight.records:
            outcome = await self._try_once(self._in_flight)
            if isinstance(outcome, Appended):
                self._resolve_written(outcome)
                return
            await self._back_off(attempt)
            attempt += 1

    async def _try_once(self, batch: InFlight) -> Appended | LogUnavailable:
        if batch.uncertain:
            found = await self._read_back(batch.append_id)
            if found is not None:
                return found
            await self.budget.acquire(Priority.ACCEPTANCE)
        batch.encode()
        was_uncertain = batch.uncertain
        batch.uncertain = True
        outcome = await self.target.append(self.stream, batch.data, batch.append_id)
        if isinstance(outcome, Appended):
            return outcome
        batch.uncertain = was_uncertain or outcome.maybe_written
        if not outcome.maybe_written:
            return outcome
        self.uncertain_appends += 1
        log_event(Event.APPEND_UNCERTAIN, stream=self.stream, append_id=batch.append_id)
        return await self._read_back(batch.append_id) or outcome

    async def _note_end(self) -> None:
        now_s = loop_time()
        if now_s < self._end_known_at_s + END_STALE_S:
            return
        found = await self.target.read(self.stream, self._read_from, 1)
        if not isinstance(found, LogUnavailable):
            self._read_from = found.end_offset
            self._end_known_at_s = now_s

    async def _read_back(self, append_id: str) -> Appended | None:
        """Look for an append among all entries since the last one that was settled."""
        offset = self._read_from
        while True:
            found = await self.target.read(self.stream, offset, SETTLE_READ_LIMIT)
            if isinstance(found, LogUnavailable):
                return None
            if isinstance(found, PastRetention):
                offset = found.oldest_offset
                continue
            for entry in found.entries:
                if entry.append_id == append_id:
                    return Appended(entry.offset, entry.appended_at_s)
            if not found.entries:
                return None
            offset = found.next_offset

    def _resolve_written(self, appended: Appended) -> None:
        self._read_from = appended.offset + 1
        self._end_known_at_s = loop_time()
        for pending in self._in_flight.records:
            pending.resolve(Written(appended.offset, self._in_flight.append_id))
        self._in_flight = InFlight([], "")

    async def _back_off(self, attempt: int) -> None:
        pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(attempt, 10))
        await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    def _answer_late(self, pending: PendingRecord) -> Written | Refusal:
        if pending.outcome.done() and not pending.outcome.cancelled():
            return pending.outcome.result()
        if self._withdraw(pending):
            return _refuse(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        return _refuse(Reason.LOG_UNAVAILABLE, retry_after_s=APPEND_DEADLINE_S)

    def _withdraw(self, pending: PendingRecord) -> bool:
        """Wait no longer for a record; return whether it may come to stand in the log."""
        self.queue.withdraw(pending)
        return self._in_flight.withdraw(pending)


def _refuse(
    reason: Reason, run_state: RunState = RunState.NOT_RUN, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(reason, run_state, retry_after_s)

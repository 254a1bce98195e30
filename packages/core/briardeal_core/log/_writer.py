"""Service that writes each record once to a stream."""

from __future__ import annotations

import asyncio
import math
import uuid
from typing import TYPE_CHECKING

from mode import Service

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._queue import InFlightAppend, PendingRecord, RecordQueue, Written
from briardeal_core.log._rate_limiter import AppendRateLimiter, Priority
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
"""Upper limit of the deadline; well below the time for which readers detect duplicates."""

RETRY_BASE_S = 0.1
RETRY_CAP_S = 2.0
READ_BACK_LIMIT_ENTRIES = 500
MAX_END_AGE_S = 60.0
"""Age at which the known end of the stream is read again, so that read-backs stay short."""


class StreamWriter(Service):
    """Appends records to one stream in batches, within the rate limit of the process.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream.
    schema
        Kinds of record of the stream.
    rate_limiter
        Rate limiter shared by all writers of the process.
    rng
        Random source of jitter and append identifiers.
    batch_limit_records
        Maximum number of records per append; 1 if each record needs an offset of its own.

    Attributes
    ----------
    uncertain_appends
        Number of attempts that the log may or may not have stored.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        schema: Schema,
        rate_limiter: AppendRateLimiter,
        rng: random.Random,
        batch_limit_records: int = BATCH_LIMIT_RECORDS,
    ) -> None:
        super().__init__()
        self.target = log
        self.stream = stream
        self.schema = schema
        self.rate_limiter = rate_limiter
        self.rng = rng
        self.batch_limit_records = batch_limit_records
        self.queue = RecordQueue()
        self.uncertain_appends = 0
        self._search_from_offset = 0
        self._end_known_at_s = -math.inf
        self._in_flight = InFlightAppend([], "")

    async def append(
        self,
        record: msgspec.Struct,
        priority: Priority = Priority.ACCEPTANCE,
        deadline_s: float = APPEND_DEADLINE_S,
    ) -> Written | Refusal:
        """Append one record and wait until it is known to be stored in the log.

        Parameters
        ----------
        record
            The record, of a kind in the schema.
        priority
            Priority when the rate limit delays appends.
        deadline_s
            Time from now after which the call returns in any case, in seconds.

        Returns
        -------
        Written | Refusal
            A refusal with the run state `not_run` means that the record will never be stored in
            the log.
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
            return self._resolve_timeout(pending)
        finally:
            self._withdraw(pending)

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            await self._wait_for_rate()
            taken = self.queue.take_batch(self.batch_limit_records, BATCH_LIMIT_BYTES)
            append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
            self._in_flight = InFlightAppend(taken, append_id)
            await self._write_batch()

    async def on_stop(self) -> None:
        """Resolve all records whose callers still wait."""
        for pending in self.queue.drain():
            pending.resolve(_refuse(Reason.SHUTTING_DOWN))
        for pending in tuple(self._in_flight.records):
            uncertain = self._in_flight.withdraw(pending)
            run_state = RunState.UNKNOWN if uncertain else RunState.NOT_RUN
            pending.resolve(_refuse(Reason.SHUTTING_DOWN, run_state))

    async def _wait_for_rate(self) -> None:
        while True:
            priority = await self.queue.wait_for_record()
            wait_s = self.rate_limiter.try_acquire(priority)
            if wait_s == 0:
                return
            await self.queue.wait_for_push(wait_s)

    async def _write_batch(self) -> None:
        """Retry one append until its outcome is known or no caller waits for it any more."""
        await self._refresh_end_offset()
        attempt = 0
        while self._in_flight.records:
            outcome = await self._try_append(self._in_flight)
            if isinstance(outcome, Appended):
                self._resolve_written(outcome)
                return
            await self._back_off(attempt)
            attempt += 1

    async def _try_append(self, batch: InFlightAppend) -> Appended | LogUnavailable:
        if batch.uncertain:
            found = await self._read_back(batch.append_id)
            if found is not None:
                return found
            await self.rate_limiter.acquire(Priority.ACCEPTANCE)
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

    async def _refresh_end_offset(self) -> None:
        now_s = loop_time()
        if now_s < self._end_known_at_s + MAX_END_AGE_S:
            return
        found = await self.target.read(self.stream, self._search_from_offset, 1)
        if not isinstance(found, LogUnavailable):
            self._search_from_offset = found.end_offset
            self._end_known_at_s = now_s

    async def _read_back(self, append_id: str) -> Appended | None:
        """Search for an append in the entries since the last known end of the stream."""
        offset = self._search_from_offset
        while True:
            found = await self.target.read(self.stream, offset, READ_BACK_LIMIT_ENTRIES)
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
        self._search_from_offset = appended.offset + 1
        self._end_known_at_s = loop_time()
        for pending in self._in_flight.records:
            pending.resolve(Written(appended.offset, self._in_flight.append_id))
        self._in_flight = InFlightAppend([], "")

    async def _back_off(self, attempt: int) -> None:
        pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(attempt, 10))
        await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    def _resolve_timeout(self, pending: PendingRecord) -> Written | Refusal:
        if pending.outcome.done() and not pending.outcome.cancelled():
            return pending.outcome.result()
        if self._withdraw(pending):
            return _refuse(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)
        return _refuse(Reason.LOG_UNAVAILABLE, retry_after_s=APPEND_DEADLINE_S)

    def _withdraw(self, pending: PendingRecord) -> bool:
        """Withdraw a record and return whether it may nevertheless be stored in the log."""
        self.queue.withdraw(pending)
        return self._in_flight.withdraw(pending)


def _refuse(
    reason: Reason, run_state: RunState = RunState.NOT_RUN, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(reason, run_state, retry_after_s)

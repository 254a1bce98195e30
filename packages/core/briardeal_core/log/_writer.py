"""Writing of typed records to a stream, once each."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from mode import Service

from briardeal_core.events import Event, log_event
from briardeal_core.log._budget import AppendBudget, Priority
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._queue import PendingRecord, RecordQueue, Written
from briardeal_core.log._records import encode_envelope
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
        budget: AppendBudget,
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
        self._in_flight: list[PendingRecord] = []

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
        loop = asyncio.get_running_loop()
        deadline_at_s = loop.time() + min(deadline_s, MAX_APPEND_DEADLINE_S)
        pending = PendingRecord(
            self.schema.encode(record), priority, deadline_at_s, loop.create_future()
        )
        if self.should_stop:
            return _refuse(Reason.SHUTTING_DOWN)
        if not self.queue.push(pending):
            return _refuse(Reason.LOG_BACKLOG, retry_after_s=deadline_s)
        return await pending.outcome

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            priority = await self.queue.wait()
            await self.budget.acquire(priority)
            taken = self.queue.take(self.batch_limit_records, BATCH_LIMIT_BYTES)
            self._in_flight = self._drop_late(taken, maybe_written=False)
            if self._in_flight:
                await self._write_batch()

    async def on_stop(self) -> None:
        """Answer everyone who still waits."""
        for pending in self.queue.drain():
            pending.resolve(_refuse(Reason.SHUTTING_DOWN))
        for pending in self._in_flight:
            pending.resolve(_refuse(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN))

    async def _write_batch(self) -> None:
        """Try one append until it is settled or nobody waits for it any more."""
        append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        data = encode_envelope([pending.encoded for pending in self._in_flight])
        maybe_written = False
        attempt = 0
        while self._in_flight:
            outcome = await self._try_once(data, append_id, maybe_written)
            if isinstance(outcome, Appended):
                self._resolve_written(outcome, append_id)
                return
            maybe_written = maybe_written or outcome.maybe_written
            await self._back_off(attempt)
            attempt += 1
            self._in_flight = self._drop_late(self._in_flight, maybe_written)

    async def _try_once(
        self, data: bytes, append_id: str, maybe_written: bool
    ) -> Appended | LogUnavailable:
        if maybe_written:
            found = await self._read_back(append_id)
            if found is not None:
                return found
            await self.budget.acquire(Priority.ACCEPTANCE)
        outcome = await self.target.append(self.stream, data, append_id)
        if isinstance(outcome, LogUnavailable) and outcome.maybe_written:
            self.uncertain_appends += 1
            log_event(Event.APPEND_UNCERTAIN, stream=self.stream, append_id=append_id)
            return await self._read_back(append_id) or outcome
        return outcome

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

    def _resolve_written(self, appended: Appended, append_id: str) -> None:
        self._read_from = appended.offset + 1
        for pending in self._in_flight:
            pending.resolve(Written(appended.offset, append_id))
        self._in_flight = []

    async def _back_off(self, attempt: int) -> None:
        pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**attempt)
        await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    def _drop_late(self, records: list[PendingRecord], maybe_written: bool) -> list[PendingRecord]:
        now_s = asyncio.get_running_loop().time()
        kept = []
        for pending in records:
            if pending.deadline_s > now_s:
                kept.append(pending)
            elif maybe_written:
                pending.resolve(_refuse(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN))
            else:
                pending.resolve(_refuse(Reason.LOG_UNAVAILABLE, retry_after_s=APPEND_DEADLINE_S))
        return kept


def _refuse(
    reason: Reason, run_state: RunState = RunState.NOT_RUN, retry_after_s: float | None = None
) -> Refusal:
    return Refusal(reason, run_state, retry_after_s)

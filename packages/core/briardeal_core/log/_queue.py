"""Bounded queue of the records that wait for a writer."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.log._rate_limiter import Priority
from briardeal_core.log._records import encode_envelope

if TYPE_CHECKING:
    from briardeal_core.log._records import EncodedRecord
    from briardeal_core.reasons import Refusal

QUEUE_LIMIT_RECORDS = 1000
"""Maximum number of waiting records per priority."""


@dataclass(frozen=True)
class Written:
    """The record is stored in the log.

    Parameters
    ----------
    offset
        Offset of an entry of the append. If the log stored duplicates, the first entry, which is
        the one that readers use, may have a lower offset.
    append_id
        Identifier of the append.
    """

    offset: int
    append_id: str


@attrs.define(eq=False)
class PendingRecord:
    """A record that waits to be appended.

    Parameters
    ----------
    encoded
        The encoded record.
    priority
        Priority of the append.
    outcome
        Future for the outcome.
    """

    encoded: EncodedRecord
    priority: Priority
    outcome: asyncio.Future[Written | Refusal]

    def resolve(self, outcome: Written | Refusal) -> None:
        """Set the outcome unless it is already set or the caller has cancelled the wait."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.define
class InFlightAppend:
    """The append that is in progress.

    Parameters
    ----------
    records
        Records of the append whose callers still wait.
    append_id
        Identifier of the append.
    data
        Encoded records as last sent.
    uncertain
        Whether an attempt may have been stored; from then on, retries send the same data.
    """

    records: list[PendingRecord]
    append_id: str
    data: bytes = b""
    uncertain: bool = False

    def encode(self) -> None:
        """Encode the records that still wait, unless an earlier attempt may have been stored."""
        if not self.uncertain:
            self.data = encode_envelope([pending.encoded for pending in self.records])

    def withdraw(self, pending: PendingRecord) -> bool:
        """Remove a record and return whether it may nevertheless be stored in the log."""
        if pending not in self.records:
            return False
        self.records.remove(pending)
        return self.uncertain


class RecordQueue:
    """First-in, first-out queue of records for each priority.

    Parameters
    ----------
    limit_records
        Maximum number of waiting records per priority.
    """

    def __init__(self, limit_records: int = QUEUE_LIMIT_RECORDS) -> None:
        self.limit_records = limit_records
        self._waiting: dict[Priority, deque[PendingRecord]] = {
            priority: deque() for priority in Priority
        }
        self._pushed = asyncio.Event()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    def push(self, pending: PendingRecord) -> bool:
        """Add a record; return whether its queue had free capacity."""
        waiting = self._waiting[pending.priority]
        if len(waiting) >= self.limit_records:
            return False
        waiting.append(pending)
        self._pushed.set()
        return True

    async def wait_for_record(self) -> Priority:
        """Wait until the queue is not empty and return the highest priority in it."""
        while not len(self):
            self._pushed.clear()
            await self._pushed.wait()
        return min(priority for priority, waiting in self._waiting.items() if waiting)

    async def wait_for_push(self, timeout_s: float) -> None:
        """Wait until another record is added, at most for the given time in seconds."""
        self._pushed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._pushed.wait()
        except TimeoutError:
            return

    def withdraw(self, pending: PendingRecord) -> None:
        """Remove a record if it is still in the queue."""
        waiting = self._waiting[pending.priority]
        if pending in waiting:
            waiting.remove(pending)

    def take_batch(self, limit_records: int, limit_bytes: int) -> list[PendingRecord]:
        """Remove and return the records that fit into one append, highest priority first."""
        taken: list[PendingRecord] = []
        size = 0
        for waiting in self._waiting.values():
            while waiting and len(taken) < limit_records:
                size += len(bytes(waiting[0].encoded.body))
                if taken and size > limit_bytes:
                    return taken
                taken.append(waiting.popleft())
        return taken

    def drain(self) -> list[PendingRecord]:
        """Remove and return all records."""
        drained = [pending for waiting in self._waiting.values() for pending in waiting]
        for waiting in self._waiting.values():
            waiting.clear()
        return drained

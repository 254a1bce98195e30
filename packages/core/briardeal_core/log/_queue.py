"""The bounded queue in front of a writer."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.log._budget import Priority
from briardeal_core.log._records import encode_envelope

if TYPE_CHECKING:
    from briardeal_core.log._records import EncodedRecord
    from briardeal_core.reasons import Refusal

QUEUE_LIMIT_RECORDS = 1000
"""Most records of one priority that may wait."""


@dataclass(frozen=True)
class Written:
    """The record stands in the log.

    Parameters
    ----------
    offset
        Offset of a copy of the append; the first copy, which counts, may stand earlier.
    append_id
        Identifier of the append.
    """

    offset: int
    append_id: str


@attrs.define(eq=False)
class PendingRecord:
    """A record that waits for its append.

    Parameters
    ----------
    encoded
        The record.
    priority
        What goes first.
    outcome
        Where the answer goes.
    """

    encoded: EncodedRecord
    priority: Priority
    outcome: asyncio.Future[Written | Refusal]

    def resolve(self, outcome: Written | Refusal) -> None:
        """Answer the caller, unless it has gone or has its answer."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.define
class InFlight:
    """The append that is being tried.

    Parameters
    ----------
    records
        Its records whose callers still wait.
    append_id
        Identifier of the append.
    data
        What was sent last.
    uncertain
        Whether it may have taken effect; from then on what is sent no longer changes.
    """

    records: list[PendingRecord]
    append_id: str
    data: bytes = b""
    uncertain: bool = False

    def encode(self) -> None:
        """Encode the records that still wait, unless an earlier try may have taken effect."""
        if not self.uncertain:
            self.data = encode_envelope([pending.encoded for pending in self.records])

    def withdraw(self, pending: PendingRecord) -> bool:
        """Wait no longer for a record; return whether it may come to stand in the log."""
        if pending not in self.records:
            return False
        self.records.remove(pending)
        return self.uncertain


class RecordQueue:
    """Records that wait, by priority and in order.

    Parameters
    ----------
    limit_records
        Most records of one priority that may wait.
    """

    def __init__(self, limit_records: int = QUEUE_LIMIT_RECORDS) -> None:
        self.limit_records = limit_records
        self._waiting: dict[Priority, deque[PendingRecord]] = {
            priority: deque() for priority in Priority
        }
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting.values())

    def push(self, pending: PendingRecord) -> bool:
        """Add a record; return whether there was room."""
        waiting = self._waiting[pending.priority]
        if len(waiting) >= self.limit_records:
            return False
        waiting.append(pending)
        self._filled.set()
        return True

    async def wait(self) -> Priority:
        """Wait for a record and return the highest priority that waits."""
        while not len(self):
            self._filled.clear()
            await self._filled.wait()
        return min(priority for priority, waiting in self._waiting.items() if waiting)

    async def wait_push(self, timeout_s: float) -> None:
        """Wait for another record, at most for the given time in seconds."""
        self._filled.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._filled.wait()
        except TimeoutError:
            return

    def withdraw(self, pending: PendingRecord) -> None:
        """Remove a record if it still waits."""
        waiting = self._waiting[pending.priority]
        if pending in waiting:
            waiting.remove(pending)

    def take(self, limit_records: int, limit_bytes: int) -> list[PendingRecord]:
        """Remove and return what fits into one append, highest priority first."""
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
        """Remove and return everything."""
        drained = [pending for waiting in self._waiting.values() for pending in waiting]
        for waiting in self._waiting.values():
            waiting.clear()
        return drained

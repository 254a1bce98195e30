"""Appends under a role that only one process has at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import boottime_s, loop_time
from briardeal_workflow.store._interface import Appended, Fenced, NotStored, Position, Unconfirmed
from briardeal_workflow.store._upload import estimate_upload_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.store._interface import AppendOutcome, Record, Store

APPEND_TIMEOUT_S = 0.7
"""Time for the answer to an append; a healthy store answers within 10 ms."""

RETRY_PAUSE_S = 0.2
"""Pause before a failed append is repeated."""

REPEAT_AFTER_S = 0.25
"""Time after which an urgent append is sent again; slow answers take 0.25 s."""


class FencedWriter:
    """Appends records under a fencing token, one append at a time.

    Parameters
    ----------
    store, topic, writer, epoch
        Store and topic to write to, role of the writer, and fencing token.

    Attributes
    ----------
    confirmed_s, confirmed_loop_s
        When the newest append that the store accepted was sent, on the clock of `boottime_s` and on
        the loop's; no other writer had taken over before.
    fenced
        Whether another writer has taken over.
    failing_since_s
        When the first of the current series of failed appends was sent, on the clock of
        `boottime_s`; `None` after a success.
    """

    def __init__(self, store: Store, topic: str, writer: str, epoch: int) -> None:
        self.store = store
        self.topic = topic
        self.writer = writer
        self.epoch = epoch
        self.confirmed_s = self.confirmed_loop_s = float("-inf")
        self.fenced = False
        self.failing_since_s: float | None = None
        self._sequence = 0
        self._lock = asyncio.Lock()

    async def append(self, records: Sequence[Record]) -> Appended | Fenced:
        """Append records, repeating until the store accepts them or another writer takes over."""
        async with self._lock:
            while not self.fenced:
                outcome = await self._call(records, self._sequence)
                if isinstance(outcome, Appended):
                    return outcome
                if not self.fenced:
                    await asyncio.sleep(RETRY_PAUSE_S)
            return Fenced()

    async def append_urgently(self, records: Sequence[Record]) -> Appended | Fenced:
        """Append records; calls that are not answered soon overlap with repetitions of them."""
        async with self._lock, asyncio.TaskGroup() as tasks:
            sequence = self._sequence
            repeat_after_s = REPEAT_AFTER_S + estimate_upload_s(records)
            calls: set[asyncio.Task[AppendOutcome]] = set()
            stored: Appended | None = None
            while stored is None and not self.fenced:
                calls.add(tasks.create_task(self._call(records, sequence)))
                answered, calls = await asyncio.wait(
                    calls, timeout=repeat_after_s, return_when=asyncio.FIRST_COMPLETED
                )
                outcomes = [call.result() for call in answered]
                stored = next((each for each in outcomes if isinstance(each, Appended)), None)
                if answered and stored is None and not self.fenced:
                    await asyncio.sleep(REPEAT_AFTER_S)
            for call in calls:
                call.cancel()
            return Fenced() if stored is None else stored

    async def confirm(self) -> bool:
        """Ask the store once whether another writer has taken over; return whether none has.

        Returns false without an answer, too. It does not wait for appends of records.
        """
        return isinstance(await self._call([], self._sequence), Appended)

    async def _call(self, records: Sequence[Record], sequence: int) -> AppendOutcome:
        """Send one append, and record its outcome."""
        sent_s, sent_loop_s = boottime_s(), loop_time()
        position = Position(self.writer, self.epoch, sequence)
        timeout_s = APPEND_TIMEOUT_S + estimate_upload_s(records)
        outcome = await self.store.append(
            self.topic, records, position=position, timeout_s=timeout_s
        )
        if isinstance(outcome, Appended):
            self.confirmed_s = max(self.confirmed_s, sent_s)
            self.confirmed_loop_s = max(self.confirmed_loop_s, sent_loop_s)
            self.failing_since_s = None
            if records:
                self._sequence = max(self._sequence, sequence + 1)
        elif isinstance(outcome, Fenced):
            self.fenced = True
        elif isinstance(outcome, NotStored | Unconfirmed) and self.failing_since_s is None:
            self.failing_since_s = sent_s
        return outcome

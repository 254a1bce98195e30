"""Appends of a role that one process holds at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import awake_time
from briardeal_workflow.store._port import Appended, Fenced, NotStored, Position, Unconfirmed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.store._port import AppendOutcome, Record, Store

TRY_TIMEOUT_S = 0.7
"""Time for one append; a store in order answers within 10 ms."""

RETRY_S = 0.2
"""Pause before an append is repeated."""


class FencedWriter:
    """Appends records under a fencing token, one append at a time.

    Parameters
    ----------
    store, topic, writer, epoch
        Where to write, the name of the role, and the fencing token.

    Attributes
    ----------
    confirmed_s
        When the newest append that the store took was sent, on the clock of `awake_time`: until
        then, no other writer had taken over.
    fenced
        Whether another writer has taken over.
    """

    def __init__(self, store: Store, topic: str, writer: str, epoch: int) -> None:
        self.store = store
        self.topic = topic
        self.writer = writer
        self.epoch = epoch
        self.confirmed_s = float("-inf")
        self.fenced = False
        self.failing_since_s: float | None = None
        self._sequence = 0
        self._lock = asyncio.Lock()

    async def append(self, records: Sequence[Record]) -> Appended | Fenced:
        """Append records, repeating until the store takes them or another writer took over."""
        async with self._lock:
            position = Position(self.writer, self.epoch, self._sequence)
            while not self.fenced:
                sent_s = awake_time()
                outcome = await self.store.append(
                    self.topic, records, position=position, timeout_s=TRY_TIMEOUT_S
                )
                if isinstance(outcome, Appended):
                    self._note_success(sent_s, counted=bool(records))
                    return outcome
                self._note_failure(outcome, sent_s)
                if not self.fenced:
                    await asyncio.sleep(RETRY_S)
            return Fenced()

    def _note_success(self, sent_s: float, *, counted: bool) -> None:
        self.confirmed_s = sent_s
        self.failing_since_s = None
        if counted:
            self._sequence += 1

    def _note_failure(self, outcome: AppendOutcome, sent_s: float) -> None:
        if isinstance(outcome, Fenced):
            self.fenced = True
        elif isinstance(outcome, NotStored | Unconfirmed) and self.failing_since_s is None:
            self.failing_since_s = sent_s

"""Keeps up with a topic."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import awake_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.store._port import OutOfReach, Page, Trimmed

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.store._port import Record, Store

RETRY_S = 0.25
"""Pause after a read that failed; a store that is back is found within this time."""


class Follower:
    """Reads a topic from the newest record of each key on, and passes on what it reads.

    Parameters
    ----------
    store, topic
        What to read.
    apply
        Takes over a record; called again for some records after a gap.
    wait_s
        Longest time that a read waits for a record, and so the age of `confirmed_s` at rest.

    Attributes
    ----------
    caught_up
        Set once everything that stood in the topic has been read.
    confirmed_s
        When the newest read that the store answered was sent, on the clock of `awake_time`.
    end
        Offset from which it reads on.
    """

    def __init__(
        self, store: Store, topic: str, apply: Callable[[Record], None], wait_s: float
    ) -> None:
        self.store = store
        self.topic = topic
        self.apply = apply
        self.wait_s = wait_s
        self.caught_up = asyncio.Event()
        self.confirmed_s = float("-inf")
        self.next_offset = 0
        self.reachable = True
        self._changed = asyncio.Event()

    @property
    def age_s(self) -> float:
        """How old what was read may be, in seconds."""
        return awake_time() - self.confirmed_s

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not await self._load():
                await asyncio.sleep(RETRY_S)
                continue
            self.caught_up.set()
            await self._follow()

    async def wait_until_read(self, offset: int) -> None:
        """Wait until everything before an offset was read."""
        while self.next_offset < offset:
            self._changed.clear()
            await self._changed.wait()

    async def _load(self) -> bool:
        """Read the newest record of each key and return whether all were read."""
        after_key = ""
        first_end: int | None = None
        while True:
            sent_s = awake_time()
            page = await self.store.list_newest(self.topic, after_key)
            if not isinstance(page, Page):
                self._note_reach(page)
                return False
            self._note_reach(page)
            if first_end is None:
                first_end = page.next_offset
            for record in page.records:
                self.apply(record)
            if not page.next_key:
                break
            after_key = page.next_key
        # Records written while the pages were read stand behind the end that the first one told.
        self._advance(first_end, sent_s)
        return True

    async def _follow(self) -> None:
        while True:
            sent_s = awake_time()
            # A store that was away is asked without a wait, so that its return is found at once.
            wait_s = self.wait_s if self.reachable else 0.0
            page = await self.store.read(self.topic, self.next_offset, wait_s=wait_s)
            self._note_reach(page)
            if isinstance(page, Trimmed):
                log_event(Event.LOG_GAP_FOUND, topic=self.topic, offset=self.next_offset)
                return
            if isinstance(page, OutOfReach):
                await asyncio.sleep(RETRY_S)
                continue
            for record in page.records:
                self.apply(record)
            self._advance(max(self.next_offset, page.next_offset), sent_s)

    def _advance(self, end: int, sent_s: float) -> None:
        self.next_offset = end
        self.confirmed_s = sent_s
        self._changed.set()

    def _note_reach(self, outcome: object) -> None:
        in_reach = not isinstance(outcome, OutOfReach)
        if in_reach == self.reachable:
            return
        self.reachable = in_reach
        if in_reach:
            log_event(Event.LOG_RECOVERED, topic=self.topic)
        else:
            log_event(Event.LOG_UNAVAILABLE, topic=self.topic, detail=outcome.detail)

"""Continuous reading of a topic."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import boottime_s
from briardeal_core.events import Event, log_event
from briardeal_workflow.store._interface import OutOfReach, Page, Trimmed

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.store._interface import ReadOutcome, Record, Store

RETRY_PAUSE_S = 0.25
"""Pause after a failed read; a store that has recovered is detected within this time."""

MAX_PROBES = 2
"""Reads of a store that does not answer which may overlap."""

PROBE_INTERVAL_S = 0.5
"""Time after which an unanswered read of an unreachable store is repeated."""


class Follower:
    """Reads the newest record of each key of a topic, then every new record.

    Parameters
    ----------
    store, topic
        Store and topic to read.
    apply
        Called with each record; called again for some records after a gap.
    wait_s
        Longest time that a read waits for a record, in seconds; while none arrive, `age_s` grows up
        to this value.
    on_loaded
        Called after each complete load of the newest records, with the keys that it has listed and
        the end of the topic when it began. Other keys with records before that end are removed.
    probes_overlap
        Whether an unreachable store is read again before the last read has given up, so that its
        recovery is detected within `PROBE_INTERVAL_S` also if it ignores calls.

    Attributes
    ----------
    caught_up
        Set once all records that the topic contained at the start have been read.
    confirmed_s
        When the newest read that the store answered was sent, on the clock of `boottime_s`.
    reachable
        Whether the store answered the newest read.
    next_offset
        Offset from which the next read continues.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        apply: Callable[[Record], None],
        wait_s: float,
        on_loaded: Callable[[frozenset[str], int], None] | None = None,
        *,
        probes_overlap: bool = False,
    ) -> None:
        self.store = store
        self.topic = topic
        self.apply = apply
        self.on_loaded = on_loaded
        self.probes_overlap = probes_overlap
        self.wait_s = wait_s
        self.caught_up = asyncio.Event()
        self.confirmed_s = float("-inf")
        self.next_offset = 0
        self.reachable = True
        self._progress_s = float("-inf")
        self._changed = asyncio.Event()

    @property
    def age_s(self) -> float:
        """Upper limit of the time by which the records read lag behind the topic, in seconds."""
        return boottime_s() - self.confirmed_s

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        load = _Load()
        while True:
            if not await self._continue(load):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.caught_up.set()
            # Records may have been written while several pages were read.
            await self._follow(self.wait_s if load.pages == 1 else 0.0)
            load = _Load()

    async def wait_until_read(self, offset: int) -> None:
        """Wait until all records before an offset have been read."""
        while self.next_offset < offset:
            self._changed.clear()
            await self._changed.wait()

    async def _continue(self, load: _Load) -> bool:
        """Read the remaining pages of a load; return whether the store answered every read."""
        while not load.complete:
            sent_s = boottime_s()
            page = await self.store.list_newest(self.topic, load.after_key, self._record_progress)
            self._update_reachable(page)
            if not isinstance(page, Page):
                log_event(
                    Event.LOAD_INTERRUPTED, topic=self.topic, pages=load.pages, detail=str(page)
                )
                return False
            load.add(page, sent_s)
            if self.on_loaded is not None:
                load.keys.update(record.key for record in page.records)
            for record in page.records:
                self.apply(record)
        if self.on_loaded is not None:
            self.on_loaded(frozenset(load.keys), load.first_end)
        # Records written while the pages were read have offsets from the end of the first page on.
        self._advance(load.first_end, load.sent_s)
        return True

    async def _follow(self, wait_s: float) -> None:
        """Read new records until there is a gap; the first read waits up to `wait_s` seconds."""
        while True:
            sent_s = boottime_s()
            if self.probes_overlap and not self.reachable:
                page, sent_s = await self._probe()
            else:
                # Without a wait, the recovery of an unreachable store is detected at once.
                page = await self._read(wait_s if self.reachable else 0.0)
            self._update_reachable(page)
            if isinstance(page, Trimmed):
                log_event(Event.LOG_GAP_FOUND, topic=self.topic, offset=self.next_offset)
                return
            if isinstance(page, OutOfReach):
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            for record in page.records:
                self.apply(record)
            self._advance(max(self.next_offset, page.next_offset), sent_s)
            wait_s = self.wait_s

    async def _read(self, wait_s: float) -> ReadOutcome:
        return await self.store.read(
            self.topic, self.next_offset, wait_s=wait_s, on_progress=self._record_progress
        )

    def _record_progress(self) -> None:
        self._progress_s = boottime_s()

    async def _probe(self) -> tuple[ReadOutcome, float]:
        """Read an unreachable store with reads that overlap, until one is answered or none is left.

        While an answer is arriving, no read is added, as it would fetch the same records over the
        same link. Returns the outcome, and when its read was sent.
        """
        sent_s: dict[asyncio.Task[ReadOutcome], float] = {}
        async with asyncio.TaskGroup() as tasks:
            while True:
                is_arriving = boottime_s() - self._progress_s < PROBE_INTERVAL_S
                if not sent_s or (len(sent_s) < MAX_PROBES and not is_arriving):
                    sent_s[tasks.create_task(self._read(0.0))] = boottime_s()
                ended, _ = await asyncio.wait(
                    sent_s, timeout=PROBE_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                )
                answered = [each for each in ended if not isinstance(each.result(), OutOfReach)]
                if answered or len(ended) == len(sent_s):
                    newest = max(answered or ended, key=sent_s.__getitem__)
                    for read in sent_s:
                        read.cancel()
                    return newest.result(), sent_s[newest]
                for read in ended:
                    del sent_s[read]
                if ended:
                    await asyncio.sleep(RETRY_PAUSE_S)

    def _advance(self, next_offset: int, sent_s: float) -> None:
        self.next_offset = next_offset
        self.confirmed_s = sent_s
        self._changed.set()

    def _update_reachable(self, outcome: object) -> None:
        reachable = not isinstance(outcome, OutOfReach)
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            log_event(Event.LOG_RECOVERED, topic=self.topic)
        else:
            log_event(Event.LOG_UNAVAILABLE, topic=self.topic, detail=outcome.detail)


@attrs.define
class _Load:
    """Progress of reading the newest record of each key, over reads that fail.

    Pages are not a snapshot, so that a page may be read any time after the one before it: records
    written since the first page have offsets from `first_end` on, and are read after the load.

    Attributes
    ----------
    sent_s
        When the first page was requested, on the clock of `boottime_s`.
    first_end
        End of the topic when the first page was read.
    after_key
        Key after which the next page begins.
    pages
        Number of pages read.
    keys
        Keys that they list, if the follower reports them.
    complete
        Whether the last page has been read.
    """

    sent_s: float = float("-inf")
    first_end: int = 0
    after_key: str = ""
    pages: int = 0
    keys: set[str] = attrs.field(factory=set)
    complete: bool = False

    def add(self, page: Page, sent_s: float) -> None:
        """Add the next page, which was requested at `sent_s`."""
        if not self.pages:
            self.sent_s, self.first_end = sent_s, page.next_offset
        self.pages += 1
        self.after_key = page.next_key
        self.complete = not page.next_key

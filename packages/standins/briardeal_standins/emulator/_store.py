"""In-memory store of topics with keyed records and selectable faults."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.store import (
    Appended,
    Conflict,
    Fenced,
    NotStored,
    OutOfReach,
    Page,
    Trimmed,
    Unconfirmed,
    ignore_progress,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardeal_workflow.store import AppendOutcome, Position, ReadOutcome, Record

PAGE_RECORDS = 500
LATENCY_S = 0.006
PAGE_TIMEOUT_S = 0.6
"""Seconds after which a client stops waiting for a page."""

WRITE_DELAY_S = 3.0
"""Seconds after which an append takes effect under `StoreFault.WRITES_LATE`."""


class StoreFault(enum.Enum):
    """Faults of the store towards a client."""

    NONE = "none"
    REFUSES = "refuses"
    """Rejects calls without effect."""
    SILENT = "silent"
    """Ignores calls without an answer."""
    LOSES_ANSWERS = "loses answers"
    """Writes records without answering."""
    WRITES_LATE = "writes late"
    """Does not answer, and writes records after a delay."""


@attrs.define(eq=False)
class _Topic:
    """Records of one topic, the newest record of each key, and the state of its writers."""

    records: list[Record] = attrs.field(factory=list)
    newest: dict[str, Record] = attrs.field(factory=dict)
    first_offset: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    outcomes: dict[tuple[str, int, int], AppendOutcome] = attrs.field(factory=dict)
    records_added: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)


class MemoryStore:
    """Topics of the store, shared by all clients.

    Attributes
    ----------
    faults
        Fault of each client by name; the empty name stands for all other clients.
    lost_answers
        Number of next appends to each topic that are carried out without an answer.
    late_pages
        Topics of which pages of the newest records arrive later than clients wait for them.
    refusing_topics
        Topics of which the store rejects all calls of all clients.
    read_delay_s
        Seconds from the arrival of a record to the answer of a read that has waited for it.
    calls
        Number of calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.faults: dict[str, StoreFault] = {}
        self.lost_answers: dict[str, int] = {}
        self.late_pages: set[str] = set()
        self.refusing_topics: set[str] = set()
        self.read_delay_s = 0.0
        self.calls = 0
        self._delayed_writes: set[asyncio.Task[None]] = set()

    def get_fault(self, client: str) -> StoreFault:
        """Return the current fault of a client."""
        return self.faults.get(client, self.faults.get("", StoreFault.NONE))

    def lose_answer(self, topic: str) -> bool:
        """Return whether the answer to an append to a topic is lost, and count it."""
        remaining = self.lost_answers.get(topic, 0)
        self.lost_answers[topic] = max(0, remaining - 1)
        return remaining > 0

    def trim_all(self) -> None:
        """Trim all records of all topics; the newest record of each key remains listed."""
        for topic in self.topics.values():
            topic.first_offset = topic.end
            topic.records.clear()
            topic.records_added.set()

    def get_topic(self, name: str) -> _Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, _Topic())

    def write(
        self,
        name: str,
        records: Sequence[Record],
        expected_end: int | None,
        position: Position | None,
    ) -> AppendOutcome:
        """Append all records, or none if the append is rejected."""
        topic = self.get_topic(name)
        if position is not None:
            position_key = (position.writer, position.epoch, position.sequence)
            if position.epoch < topic.epochs.get(position.writer, 0):
                return Fenced()
            topic.epochs[position.writer] = position.epoch
            if records and position_key in topic.outcomes:
                return topic.outcomes[position_key]
        if expected_end is not None and expected_end != topic.end:
            return Conflict(topic.end)
        for record in records:
            stored = attrs.evolve(record, offset=topic.end)
            topic.records.append(stored)
            topic.newest[record.key] = stored
            if record.value is None:
                del topic.newest[record.key]
        outcome = Appended(topic.end)
        if position is not None and records:
            topic.outcomes[position.writer, position.epoch, position.sequence] = outcome
        topic.records_added.set()
        topic.records_added = asyncio.Event()
        return outcome

    def write_delayed(self, *arguments: object) -> None:
        """Append records after a delay."""

        async def write() -> None:
            await asyncio.sleep(WRITE_DELAY_S)
            self.write(*arguments)

        task = asyncio.get_running_loop().create_task(write())
        self._delayed_writes.add(task)
        task.add_done_callback(self._delayed_writes.discard)


class StoreClient:
    """Access of one process to the store, with its faults.

    Parameters
    ----------
    store, client
        Shared store, and name of the process.
    """

    def __init__(self, store: MemoryStore, client: str) -> None:
        self.store = store
        self.client = client

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_end: int | None = None,
        position: Position | None = None,
        timeout_s: float,
    ) -> AppendOutcome:
        """Append all records, or none if the append is rejected."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        fault = self.store.get_fault(self.client)
        if fault is StoreFault.REFUSES or topic in self.store.refusing_topics:
            return NotStored("refused")
        arguments = (topic, records, expected_end, position)
        if fault is StoreFault.LOSES_ANSWERS or self.store.lose_answer(topic):
            self.store.write(*arguments)
        elif fault is StoreFault.WRITES_LATE:
            self.store.write_delayed(*arguments)
        elif fault is StoreFault.NONE:
            return self.store.write(*arguments)
        await asyncio.sleep(timeout_s)
        return Unconfirmed("no answer")

    async def read(
        self,
        topic: str,
        offset: int,
        *,
        wait_s: float,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> ReadOutcome:
        """Read records from an offset on, waiting up to `wait_s` seconds for the first."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        if self._is_unreadable(topic):
            return await self._fail_read()
        found = self.store.get_topic(topic)
        if offset >= found.end:
            try:
                async with asyncio.timeout(wait_s):
                    await found.records_added.wait()
                if self.store.read_delay_s:
                    await asyncio.sleep(self.store.read_delay_s)
            except TimeoutError:
                pass
        if self._is_unreadable(topic):
            return await self._fail_read()
        if offset < found.first_offset:
            return Trimmed()
        records = tuple(found.records[offset - found.first_offset :])
        return Page(records, offset + len(records))

    async def list_newest(
        self, topic: str, after_key: str, on_progress: Callable[[], None] = ignore_progress
    ) -> ReadOutcome:
        """Read one page of the newest records, sorted by key."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        if self._is_unreadable(topic):
            return await self._fail_read()
        if topic in self.store.late_pages:
            await asyncio.sleep(PAGE_TIMEOUT_S)
            return OutOfReach("the page comes too late")
        found = self.store.get_topic(topic)
        keys = sorted(key for key in found.newest if key > after_key)
        page = tuple(found.newest[key] for key in keys[:PAGE_RECORDS])
        more = len(keys) > PAGE_RECORDS
        return Page(page, found.end, page[-1].key if more else "")

    def _is_unreadable(self, topic: str) -> bool:
        fault = self.store.get_fault(self.client)
        is_refused = topic in self.store.refusing_topics
        return is_refused or fault in (StoreFault.REFUSES, StoreFault.SILENT)

    async def _fail_read(self) -> OutOfReach:
        if self.store.get_fault(self.client) is StoreFault.SILENT:
            await asyncio.sleep(1.0)
        return OutOfReach("store is down")

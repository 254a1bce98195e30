"""A store of topics with keys in memory, with faults to order."""

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
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.store import AppendOutcome, Position, ReadOutcome, Record

PAGE_RECORDS = 500
LATENCY_S = 0.006
LATE_S = 3.0
"""Time after which an append of a store that writes late takes effect."""


class StoreFault(enum.Enum):
    """What a store does to the calls of a client."""

    NONE = "none"
    REFUSES = "refuses"
    """It answers that it has done nothing."""
    SILENT = "silent"
    """It neither does nor answers anything."""
    LOSES_ANSWERS = "loses answers"
    """It writes and does not answer."""
    WRITES_LATE = "writes late"
    """It does not answer, and writes seconds later."""


@attrs.define(eq=False)
class _Topic:
    records: list[Record] = attrs.field(factory=list)
    newest: dict[str, Record] = attrs.field(factory=dict)
    first_offset: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], AppendOutcome] = attrs.field(factory=dict)
    records_added: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)


class MemoryStore:
    """All topics.

    Attributes
    ----------
    faults
        What is done to the calls of a client, by its name; of all others under an empty name.
    calls
        Calls so far.
    """

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.faults: dict[str, StoreFault] = {}
        self.calls = 0
        self._late: set[asyncio.Task[None]] = set()

    def fault_of(self, client: str) -> StoreFault:
        """Return what is done to the calls of a client."""
        return self.faults.get(client, self.faults.get("", StoreFault.NONE))

    def trim_all(self) -> None:
        """Drop all records; the newest of each key stay listed."""
        for topic in self.topics.values():
            topic.first_offset = topic.end
            topic.records.clear()
            topic.records_added.set()

    def get_topic(self, name: str) -> _Topic:
        """Return a topic, made on first use."""
        return self.topics.setdefault(name, _Topic())

    def write(
        self,
        name: str,
        records: Sequence[Record],
        expected_end: int | None,
        position: Position | None,
    ) -> AppendOutcome:
        """Append records, all or none."""
        topic = self.get_topic(name)
        if position is not None:
            known = (position.writer, position.epoch, position.sequence)
            if position.epoch < topic.epochs.get(position.writer, 0):
                return Fenced()
            topic.epochs[position.writer] = position.epoch
            if records and known in topic.answers:
                return topic.answers[known]
        if expected_end is not None and expected_end != topic.end:
            return Conflict(topic.end)
        for record in records:
            kept = attrs.evolve(record, offset=topic.end)
            topic.records.append(kept)
            topic.newest[record.key] = kept
            if record.value is None:
                del topic.newest[record.key]
        outcome = Appended(topic.end)
        if position is not None and records:
            topic.answers[position.writer, position.epoch, position.sequence] = outcome
        topic.records_added.set()
        topic.records_added = asyncio.Event()
        return outcome

    def write_late(self, *arguments: object) -> None:
        """Append records some seconds from now."""

        async def write() -> None:
            await asyncio.sleep(LATE_S)
            self.write(*arguments)

        task = asyncio.get_running_loop().create_task(write())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class StoreClient:
    """The store as one process reaches it.

    Parameters
    ----------
    store, client
        The store, and the name of the process.
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
        """Append records, all or none."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        fault = self.store.fault_of(self.client)
        if fault is StoreFault.REFUSES:
            return NotStored("refused")
        arguments = (topic, records, expected_end, position)
        if fault is StoreFault.LOSES_ANSWERS:
            self.store.write(*arguments)
        elif fault is StoreFault.WRITES_LATE:
            self.store.write_late(*arguments)
        elif fault is StoreFault.NONE:
            return self.store.write(*arguments)
        await asyncio.sleep(timeout_s)
        return Unconfirmed("no answer")

    async def read(self, topic: str, offset: int, *, wait_s: float) -> ReadOutcome:
        """Read from an offset on; wait up to `wait_s` for the first record."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        if self._unreadable():
            return await self._fail()
        found = self.store.get_topic(topic)
        if offset >= found.end:
            try:
                async with asyncio.timeout(wait_s):
                    await found.records_added.wait()
            except TimeoutError:
                pass
        if self._unreadable():
            return await self._fail()
        if offset < found.first_offset:
            return Trimmed()
        records = tuple(found.records[offset - found.first_offset :])
        return Page(records, offset + len(records))

    async def list_newest(self, topic: str, after_key: str) -> ReadOutcome:
        """Read a page of the newest record of each key."""
        self.store.calls += 1
        await asyncio.sleep(LATENCY_S)
        if self._unreadable():
            return await self._fail()
        found = self.store.get_topic(topic)
        keys = sorted(key for key in found.newest if key > after_key)
        page = tuple(found.newest[key] for key in keys[:PAGE_RECORDS])
        more = len(keys) > PAGE_RECORDS
        return Page(page, found.end, page[-1].key if more else "")

    def _unreadable(self) -> bool:
        return self.store.fault_of(self.client) in (StoreFault.REFUSES, StoreFault.SILENT)

    async def _fail(self) -> OutOfReach:
        if self.store.fault_of(self.client) is StoreFault.SILENT:
            await asyncio.sleep(1.0)
        return OutOfReach("store is down")

"""Start records are read at a takeover, or after it where that takes too long."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal_standins.emulator import MemoryStore, StoreClient
from briardeal_workflow.owner._start_records import (
    READ_LIMIT_S,
    STARTS_TOPIC,
    StartRecordReader,
    encode_starts,
)
from briardeal_workflow.store import OutOfReach, Record

pytestmark = pytest.mark.looptime

VMS = 1600
"""Number of records, which take four pages."""

PAGES = 4


@attrs.define
class SlowStore:
    """A store whose pages take a while to arrive."""

    store: StoreClient
    page_s: float
    pages: int = 0

    async def list_newest(self, topic, after_key):
        await asyncio.sleep(self.page_s)
        self.pages += 1
        return await self.store.list_newest(topic, after_key)


def make_reader(page_s):
    store = MemoryStore()
    records = [Record(f"vm-{number:04}", encode_starts(())) for number in range(VMS)]
    store.write(STARTS_TOPIC, records, None, None)
    slow = SlowStore(StoreClient(store, "entry-0"), page_s)
    return StartRecordReader(slow), slow


async def test_records_that_take_longer_than_a_takeover_waits_are_read_after_it():
    # Guards against an owner that reads the same pages again for as long as tasks wait for them.
    reader, slow = make_reader(page_s=0.6)
    assert isinstance(await reader.read((), READ_LIMIT_S), OutOfReach)
    starts = await reader.read((), None)
    assert len(starts) == VMS
    assert slow.pages == PAGES


async def test_page_that_takes_longer_than_a_takeover_waits_is_read_after_it():
    reader, _ = make_reader(page_s=READ_LIMIT_S + 0.5)
    assert isinstance(await reader.read((), READ_LIMIT_S), OutOfReach)
    assert len(await reader.read((), None)) == VMS

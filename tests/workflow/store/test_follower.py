"""A follower loads the newest records, then reads every new one."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal_core.clock import boottime_s
from briardeal_standins.emulator import MemoryStore, StoreClient
from briardeal_workflow.store import Follower, OutOfReach, Record

pytestmark = pytest.mark.looptime

TOPIC = "jobs"
RECORDS = 1600
"""Records of four pages."""

PAGE_S = 0.8
WAIT_S = 1.0


@attrs.define
class PagingStore:
    """A store whose pages take a while, and every second of which is not answered at first."""

    store: StoreClient
    fails: bool = True
    listed_keys: list = attrs.field(factory=list)
    outcomes: list = attrs.field(factory=list)

    async def read(self, topic, offset, **fields):
        return await self.store.read(topic, offset, **fields)

    async def list_newest(self, topic, after_key, on_progress=None):
        await asyncio.sleep(PAGE_S)
        if self.fails and len(self.outcomes) % 2:
            outcome = OutOfReach("no answer")
        else:
            outcome = await self.store.list_newest(topic, after_key)
            self.listed_keys += [record.key for record in outcome.records]
        self.outcomes.append(outcome)
        return outcome


def make_store(**fields):
    """Return a store of several pages, and a client of it."""
    store = MemoryStore()
    for number in range(RECORDS):
        store.write(TOPIC, [Record(f"key-{number:04}", b"1")], None, None)
    return store, PagingStore(StoreClient(store, "entry-0"), **fields)


async def load(follower):
    """Run a follower until it has loaded the topic."""
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(60.0):
        await follower.caught_up.wait()
    task.cancel()


async def test_load_goes_on_after_the_last_page_that_was_read():
    # Guards against loads that a store which fails now and then never lets come to their end.
    _, client = make_store()
    loaded = []
    follower = Follower(
        client, TOPIC, lambda record: None, WAIT_S, lambda keys, end: loaded.append((keys, end))
    )
    await load(follower)
    assert len(client.listed_keys) == len(set(client.listed_keys)) == RECORDS
    assert loaded == [(frozenset(client.listed_keys), RECORDS)]


async def test_records_written_during_an_interrupted_load_are_read():
    store, client = make_store()
    values = {}
    follower = Follower(
        client, TOPIC, lambda record: values.update({record.key: record.value}), WAIT_S
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(2.5 * PAGE_S)
    store.write(TOPIC, [Record("key-0000", b"2"), Record("key-1599", None)], None, None)
    async with asyncio.timeout(60.0):
        await follower.wait_until_read(RECORDS + 2)
    task.cancel()
    assert values["key-0000"] == b"2"
    assert values.get("key-1599") is None


async def test_age_counts_from_the_first_page_of_a_load():
    # Guards against records that changed during a load and count as confirmed at its last page.
    _, client = make_store(fails=False)
    follower = Follower(client, TOPIC, lambda record: None, WAIT_S)
    began_s = boottime_s()
    await load(follower)
    assert follower.confirmed_s == pytest.approx(began_s, abs=0.1)

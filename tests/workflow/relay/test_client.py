"""Tests of store calls that are relayed through another entry."""

from __future__ import annotations

import asyncio

import attrs
import msgspec
import pytest

from briardeal_core.clock import loop_time
from briardeal_protocol.connections import MemoryNetwork
from briardeal_standins.emulator import MemoryStore, StoreClient, StoreFault
from briardeal_workflow.control import CONTROL_CODEC, RelayAnswer, RelayCancel, RelayRead
from briardeal_workflow.relay import RelayedStore, RelayServer
from briardeal_workflow.store import Appended, OutOfReach, Page, Record
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

ADDRESS = "entry-1:7000"
SILENT_ADDRESS = "entry-2:7000"

MAX_DETOUR_S = 0.7
"""One connection that is not answered, and a relayed call."""

LOST_READ_S = 0.6
"""Time after which a read that is not answered has failed, beyond its wait."""

MAX_CALL_S = 0.1
"""A relayed call over an open connection."""


async def test_store_failure_and_recovery_are_logged():
    async with run_site() as site:
        site.store.faults["entry-0"] = StoreFault.REFUSES
        await asyncio.sleep(3.0)
        site.store.faults.clear()
        await asyncio.sleep(3.0)
    names = [
        msgspec.json.decode(line.partition("{")[1] + line.partition("{")[2])["message_type"]
        for line in site.logs.lines
        if line.split()[1] == "entry-0"
    ]
    logged = [name for name in names if name in ("store_detour", "store_regained")]
    assert logged == ["store_detour", "store_regained"]


async def serve_store_without_entry_0():
    """Return a store that entry-0 can't reach, and a network in which entry-1 relays calls."""
    store = MemoryStore()
    store.faults["entry-0"] = StoreFault.REFUSES
    network = MemoryNetwork(codec=CONTROL_CODEC)
    server = RelayServer(StoreClient(store, "entry-1"), lambda: True)
    await network.listen(ADDRESS, server.serve)
    return store, network


async def test_concurrent_calls_share_a_connection():
    store, network = await serve_store_without_entry_0()
    client = RelayedStore("entry-0", StoreClient(store, "entry-0"), network, lambda: [ADDRESS])
    outcomes = await asyncio.gather(
        *(
            client.append("jobs", [Record(f"key-{number}", b"1")], timeout_s=1.0)
            for number in range(5)
        )
    )
    assert all(isinstance(outcome, Appended) for outcome in outcomes)
    assert len(network.connections) == 2
    for task in network.tasks:
        task.cancel()


class NetworkWithSilentEntry:
    """Network in which connections to one address are never answered."""

    def __init__(self, network):
        self.network = network

    async def connect(self, address):
        if address == SILENT_ADDRESS:
            await asyncio.Event().wait()
        return await self.network.connect(address)


async def test_calls_do_not_queue_for_an_entry_that_does_not_answer():
    store, network = await serve_store_without_entry_0()
    client = RelayedStore(
        "entry-0",
        StoreClient(store, "entry-0"),
        NetworkWithSilentEntry(network),
        lambda: [SILENT_ADDRESS, ADDRESS],
    )
    began_s = loop_time()
    outcomes = await asyncio.gather(
        *(
            client.append("jobs", [Record(f"key-{number}", b"1")], timeout_s=1.0)
            for number in range(8)
        )
    )
    assert all(isinstance(outcome, Appended) for outcome in outcomes)
    assert loop_time() - began_s < MAX_DETOUR_S
    began_s = loop_time()
    await client.append("jobs", [Record("later", b"1")], timeout_s=1.0)
    assert loop_time() - began_s < MAX_CALL_S
    for task in network.tasks:
        task.cancel()


async def test_entry_of_an_earlier_version_gets_a_large_answer_in_one_message():
    store, network = await serve_store_without_entry_0()
    record = Record("key", b"v" * 100_000)
    store.write("jobs", [record], None, None)
    connection = await network.connect(ADDRESS)
    await connection.send(RelayRead(1, "jobs", 0, 0.0))
    answer = await connection.receive()
    assert isinstance(answer, RelayAnswer)
    assert answer.read_outcome().records == (attrs.evolve(record, offset=0),)
    for task in network.tasks:
        task.cancel()


class StoreWithLostRead:
    """Store of which one read is not answered, while it answers all other calls."""

    def __init__(self, store):
        self.store = store
        self.lost = ["op"]

    async def read(self, topic, offset, *, wait_s, on_progress):
        if topic in self.lost:
            self.lost.remove(topic)
            await asyncio.sleep(wait_s + LOST_READ_S)
            return OutOfReach("no answer")
        return await self.store.read(topic, offset, wait_s=wait_s, on_progress=on_progress)

    async def append(self, *arguments, **fields):
        return await self.store.append(*arguments, **fields)


async def test_lost_answer_does_not_divert_calls_from_a_store_that_answers():
    # Guards against calls that all go through another entry because one answer did not come.
    store, network = await serve_store_without_entry_0()
    store.faults.clear()
    direct = StoreWithLostRead(StoreClient(store, "entry-0"))
    client = RelayedStore("entry-0", direct, network, lambda: [ADDRESS])
    read = asyncio.create_task(client.read("op", 0, wait_s=1.0))
    await asyncio.sleep(1.0 + LOST_READ_S / 2)
    await client.append("jobs", [Record("key", b"1")], timeout_s=1.0)
    # The call that has failed itself is made through the other entry.
    assert await read == Page((), 0)
    assert client.direct_available
    store.faults["entry-1"] = StoreFault.REFUSES
    assert await client.append("jobs", [Record("key", b"2")], timeout_s=1.0) == Appended(2)
    assert await client.read("op", 0, wait_s=0.0) == Page((), 0)
    for task in network.tasks:
        task.cancel()


async def test_answers_before_a_lost_one_was_due_do_not_count():
    # Guards against an entry that stays with a store which has answered until just before.
    store, network = await serve_store_without_entry_0()
    store.faults.clear()
    direct = StoreWithLostRead(StoreClient(store, "entry-0"))
    client = RelayedStore("entry-0", direct, network, lambda: [ADDRESS])
    read = asyncio.create_task(client.read("op", 0, wait_s=1.0))
    await asyncio.sleep(0.9)
    await client.append("jobs", [Record("key", b"1")], timeout_s=1.0)
    assert await read == Page((), 0)
    assert not client.direct_available
    for task in network.tasks:
        task.cancel()


class WaitingStore:
    """Store whose reads are never answered."""

    def __init__(self):
        self.cancelled = 0

    async def read(self, *_, **__):
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled += 1


async def test_cancelled_call_is_dropped_by_the_relay():
    # Guards against relays that go on to send answers which nothing waits for.
    store, network = WaitingStore(), MemoryNetwork(codec=CONTROL_CODEC)
    await network.listen(ADDRESS, RelayServer(store, lambda: True).serve)
    connection = await network.connect(ADDRESS)
    for call_id in (1, 2):
        await connection.send(RelayRead(call_id, "jobs", 0, 0.0))
    await asyncio.sleep(0.1)
    await connection.send(RelayCancel(1))
    await connection.send(RelayCancel(3))
    await asyncio.sleep(0.1)
    assert store.cancelled == 1
    for task in network.tasks:
        task.cancel()

"""Calls to the store through another entry."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_protocol.connections import MemoryNetwork
from briardeal_standins.emulator import MemoryStore, StoreClient, StoreFault
from briardeal_workflow.control import CONTROL_LINES
from briardeal_workflow.relay import RelayedStore, RelayServer
from briardeal_workflow.store import Appended, Record

pytestmark = pytest.mark.looptime

ADDRESS = "entry-1:7000"


async def test_calls_at_the_same_time_share_a_connection():
    store = MemoryStore()
    store.faults["entry-0"] = StoreFault.REFUSES
    network = MemoryNetwork(codec=CONTROL_LINES)
    server = RelayServer(StoreClient(store, "entry-1"), lambda: True)
    await network.listen(ADDRESS, server.serve)
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

"""Links reconnect after silence, and links to permanently lost entries are removed."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_agent.links import EntryLinks
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_protocol.messages import (
    Admit,
    Admitted,
    AgentHello,
    EntryHello,
    Heartbeat,
    HeartbeatAck,
    Release,
)

pytestmark = pytest.mark.looptime


class Host:
    """A simulated agent that records the sequence of its orders."""

    def __init__(self):
        self.orders = []
        self.lost = []
        self.links = None

    def create_hello(self):
        return AgentHello(agent_id="vm-1", incarnation=1, region="r", failure_domain="f")

    def endpoint_state(self):
        return None

    def connect_entries(self, addresses):
        self.links.connect(addresses)

    def handle_lost_entry(self, entry):
        self.lost.append(entry.entry_id)

    async def handle_message(self, link, message):
        self.orders.append(type(message).__name__)
        return None if isinstance(message, Release) else Admitted(call_id=1, start_within_s=1)


class Peer:
    """A simulated entry that answers heartbeats and sends the given orders."""

    def __init__(self, *orders, entries=()):
        self.orders = orders
        self.hello = EntryHello(entry_id="entry-1", incarnation=1, entries=entries)
        self.connections = []

    async def serve(self, connection):
        self.connections.append(connection)
        for message in (self.hello, *self.orders):
            await connection.send(message)
        while not isinstance(message := await connection.receive(), Closed):
            if isinstance(message, Heartbeat):
                await connection.send(HeartbeatAck(sequence=message.sequence))


async def make_links(peer, permanent=("e:1",)):
    network = MemoryNetwork()
    await network.listen("e:1", peer.serve)
    host = Host()
    host.links = EntryLinks(host, network, random.Random(1), permanent)
    host.links.connect(("e:1",))
    await asyncio.sleep(1)
    return host, network


async def test_silent_connection_is_replaced_within_seconds():
    peer = Peer()
    host, network = await make_links(peer)
    network.silence("e:1")
    await asyncio.sleep(5)
    assert len(peer.connections) == 2
    assert host.lost == ["entry-1"]
    await asyncio.sleep(10)
    assert len(peer.connections) == 2
    await host.links.close()


async def test_release_never_overtakes_its_admission():
    peer = Peer(Admit(call_id=1, incarnation=1, deadline_s=1, permit=1), Release(permit=1))
    host, _ = await make_links(peer)
    assert host.orders == ["Admit", "Release"]
    await host.links.close()


async def test_links_to_entries_lost_for_long_are_removed():
    host, network = await make_links(Peer(entries=("e:2",)))
    await asyncio.sleep(300)
    host.links.remove_lost()
    assert set(host.links.links) == {"e:1", "e:2"}
    network.cut("e:1")
    await asyncio.sleep(600)
    host.links.remove_lost()
    assert set(host.links.links) == {"e:1"}
    await host.links.close()

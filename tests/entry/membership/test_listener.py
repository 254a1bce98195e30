"""Agents are taken in, replaced and forgotten by incarnation and lease."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.membership import AgentListener, AgentTable
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_protocol.messages import AgentHello, EndpointState, EntryHello, Heartbeat

pytestmark = pytest.mark.looptime

LEASE_S = 3.0


class Watcher:
    """Notes what it hears."""

    def __init__(self):
        self.heard = []

    def agent_joined(self, entry):
        self.heard.append(("joined", entry.hello.incarnation))

    def agent_lost(self, entry):
        self.heard.append(("lost", entry.hello.incarnation))


class Host:
    """A listener on a network of its own."""

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.network = MemoryNetwork()
        self.table = AgentTable(LEASE_S, loop.time)
        self.watcher = Watcher()
        hello = EntryHello(entry_id="entry-1", incarnation=1)
        self.listener = AgentListener(self.network, "e:1", hello, self.table, self.watcher)
        await self.listener.start()
        return self

    async def __aexit__(self, *exception):
        await self.listener.stop()

    async def join(self, incarnation):
        connection = await self.network.connect("e:1")
        endpoint = EndpointState(
            service="sampling", address="10.0.0.1:80", incarnation=1, slots=8, connections=64
        )
        await connection.send(
            AgentHello(
                agent_id="vm-1",
                incarnation=incarnation,
                region="ljubljana",
                failure_domain="lj-1",
                endpoint=endpoint,
            )
        )
        await asyncio.sleep(0.01)
        return connection


async def test_a_silent_agent_is_out_when_its_lease_lapses_and_is_lost_once():
    async with Host() as host:
        connection = await host.join(1)
        await asyncio.sleep(1)
        await connection.send(Heartbeat(sequence=1, slots_in_use=5))
        await asyncio.sleep(0.01)
        (agent,) = host.table.endpoints("sampling")
        assert agent.load == 5 / 8
        await asyncio.sleep(LEASE_S)
        assert host.table.endpoints("sampling") == []
        await asyncio.sleep(1)
        assert host.watcher.heard == [("joined", 1), ("lost", 1)]


async def test_a_newer_connection_takes_the_place_of_the_older():
    async with Host() as host:
        first = await host.join(1)
        await host.join(1)
        await host.join(2)
        older = await host.join(1)
        assert isinstance(await older.receive(), Closed)
        await first.close()
        await asyncio.sleep(0.1)
        assert host.watcher.heard == [("joined", 1), ("joined", 1), ("joined", 2)]
        assert [agent.hello.incarnation for agent in host.table.agents.values()] == [2]


async def test_an_agent_tells_when_its_endpoint_is_gone_and_back():
    async with Host() as host:
        connection = await host.join(1)
        (agent,) = host.table.endpoints("sampling")
        endpoint = agent.endpoint
        await connection.send(Heartbeat(sequence=1, without_endpoint=True))
        await asyncio.sleep(0.01)
        assert host.table.endpoints("sampling") == []
        await connection.send(Heartbeat(sequence=2, endpoint=endpoint))
        await asyncio.sleep(0.01)
        assert host.table.endpoints("sampling") == [agent]


async def test_a_connection_that_never_says_hello_is_closed():
    async with Host() as host:
        connection = await host.network.connect("e:1")
        async with asyncio.timeout(LEASE_S + 1):
            assert isinstance(await connection.receive(), Closed)

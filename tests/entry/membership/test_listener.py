"""Agents are registered and replaced by incarnation, and removed when their lease expires."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.membership import AgentListener, AgentTable
from briardeal_protocol.connections import Closed, MemoryNetwork
from briardeal_protocol.messages import AgentHello, EndpointState, EntryHello, Heartbeat

pytestmark = pytest.mark.looptime

LEASE_S = 3.0


class RecordingObserver:
    """Records the notifications that it receives."""

    def __init__(self):
        self.notifications = []

    def agent_joined(self, entry):
        self.notifications.append(("joined", entry.hello.incarnation))

    def agent_lost(self, entry):
        self.notifications.append(("lost", entry.hello.incarnation))


class ListenerHost:
    """A listener on its own in-memory network."""

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.network = MemoryNetwork()
        self.table = AgentTable(LEASE_S, loop.time)
        self.observer = RecordingObserver()
        hello = EntryHello(entry_id="entry-1", incarnation=1)
        self.listener = AgentListener(self.network, "e:1", hello, self.table, self.observer)
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


async def test_silent_agent_is_removed_when_its_lease_expires_and_reported_lost_once():
    async with ListenerHost() as host:
        connection = await host.join(1)
        await asyncio.sleep(1)
        await connection.send(Heartbeat(sequence=1, slots_in_use=5))
        await asyncio.sleep(0.01)
        (agent,) = host.table.endpoints("sampling")
        assert agent.load == 5 / 8
        await asyncio.sleep(LEASE_S)
        assert host.table.endpoints("sampling") == []
        await asyncio.sleep(1)
        assert host.observer.notifications == [("joined", 1), ("lost", 1)]


async def test_newer_connection_replaces_the_older():
    async with ListenerHost() as host:
        first = await host.join(1)
        await host.join(1)
        await host.join(2)
        older = await host.join(1)
        assert isinstance(await older.receive(), Closed)
        await first.close()
        await asyncio.sleep(0.1)
        assert host.observer.notifications == [("joined", 1), ("joined", 1), ("joined", 2)]
        assert [agent.hello.incarnation for agent in host.table.agents.values()] == [2]


async def test_heartbeats_remove_and_restore_the_endpoint():
    async with ListenerHost() as host:
        connection = await host.join(1)
        (agent,) = host.table.endpoints("sampling")
        endpoint = agent.endpoint
        await connection.send(Heartbeat(sequence=1, without_endpoint=True))
        await asyncio.sleep(0.01)
        assert host.table.endpoints("sampling") == []
        await connection.send(Heartbeat(sequence=2, endpoint=endpoint))
        await asyncio.sleep(0.01)
        assert host.table.endpoints("sampling") == [agent]


async def test_connection_without_a_hello_is_closed():
    async with ListenerHost() as host:
        connection = await host.network.connect("e:1")
        async with asyncio.timeout(LEASE_S + 1):
            assert isinstance(await connection.receive(), Closed)

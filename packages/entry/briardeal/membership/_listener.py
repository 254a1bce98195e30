"""Connections that agents open to this entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec
from mode import Service

from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed, Link
from briardeal_protocol.messages import (
    AgentHello,
    AgentLeaving,
    EntryHello,
    Heartbeat,
    HeartbeatAck,
    Tasks,
)

if TYPE_CHECKING:
    from briardeal.membership._table import AgentEntry, AgentTable
    from briardeal_protocol.connections import Connection, Listener, Network
    from briardeal_protocol.messages import AgentMessage

HELLO_TIMEOUT_S = 3.0
"""Time in which a connected agent must name itself."""


class Watcher(Protocol):
    """Hears of agents and of the tasks that they report."""

    def agent_joined(self, entry: AgentEntry) -> None:
        """Take in an agent that connected, with the tasks that it holds."""

    def agent_lost(self, entry: AgentEntry) -> None:
        """Take note that an agent is out of reach."""

    def tasks_changed(self, entry: AgentEntry, tasks: Tasks) -> None:
        """Take the states of tasks."""


class AgentListener(Service):
    """Serves the connections of agents, one task for each.

    Parameters
    ----------
    network
        Takes connections.
    address
        Where agents connect.
    hello
        First message to each agent.
    table
        The agents.
    watcher
        Hears of agents and tasks.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        hello: EntryHello,
        table: AgentTable,
        watcher: Watcher,
    ) -> None:
        super().__init__()
        self.network = network
        self.address = address
        self.hello = hello
        self.table = table
        self.watcher = watcher
        self.listener: Listener | None = None
        self.untold: set[str] = set()
        self.closing: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Listen for agents."""
        self.listener = await self.network.listen(self.address, self.serve)
        self.address = self.listener.address

    async def on_stop(self) -> None:
        """Close the connections of all agents."""
        await self.listener.close()
        for entry in list(self.table.agents.values()):
            await entry.link.connection.close()

    @Service.task
    async def _expire_leases(self) -> None:
        while not self.should_stop:
            await self.sleep(self.table.lease_s / 6)
            for entry in self.table.expire():
                log_event(Event.AGENT_EXPIRED, agent=entry.agent_id)
                await entry.link.connection.close()
                self.watcher.agent_lost(entry)

    def set_entries(self, addresses: tuple[str, ...]) -> None:
        """Tell the agents of all entries of the region, those linked with their next heartbeat."""
        self.hello = msgspec.structs.replace(self.hello, entries=addresses)
        self.untold = set(self.table.agents)

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        hello = await _receive_hello(connection)
        entry = self._join(hello, Link(connection)) if isinstance(hello, AgentHello) else None
        if entry is None:
            await connection.close()
            return
        await connection.send(self.hello)
        self.watcher.agent_joined(entry)
        await self._read(entry)
        await connection.close()
        if self.table.remove(entry):
            self.watcher.agent_lost(entry)

    def _join(self, hello: AgentHello, link: Link) -> AgentEntry | None:
        known = self.table.agents.get(hello.agent_id)
        entry = self.table.join(hello, link)
        if entry is None:
            return None
        if known is not None:
            self._replace(known, entry)
        log_event(Event.AGENT_JOINED, agent=entry.agent_id, incarnation=hello.incarnation)
        return entry

    def _replace(self, known: AgentEntry, entry: AgentEntry) -> None:
        if known.hello.incarnation != entry.hello.incarnation:
            log_event(Event.AGENT_REPLACED, agent=entry.agent_id)
        closing = asyncio.create_task(known.link.connection.close())
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)

    async def _read(self, entry: AgentEntry) -> None:
        async def handle(message: AgentMessage) -> None:
            entry.heard_s = self.table.now_s()
            if isinstance(message, Heartbeat):
                self._take_heartbeat(entry, message)
                await entry.link.connection.send(self._acknowledge(entry, message))
            elif isinstance(message, AgentLeaving):
                entry.leaving = True
                log_event(Event.AGENT_LEFT, agent=entry.agent_id)
            elif isinstance(message, Tasks):
                self.watcher.tasks_changed(entry, message)

        await entry.link.run(handle)

    def _acknowledge(self, entry: AgentEntry, heartbeat: Heartbeat) -> HeartbeatAck:
        untold = entry.agent_id in self.untold
        self.untold.discard(entry.agent_id)
        return HeartbeatAck(
            sequence=heartbeat.sequence, entries=self.hello.entries if untold else ()
        )

    def _take_heartbeat(self, entry: AgentEntry, heartbeat: Heartbeat) -> None:
        if heartbeat.without_endpoint:
            entry.endpoint = None
            return
        entry.endpoint = heartbeat.endpoint or entry.endpoint
        entry.record_load(heartbeat.slots_in_use, self.table.now_s())


async def _receive_hello(connection: Connection) -> AgentMessage | Closed:
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            return await connection.receive()
    except TimeoutError:
        return Closed("no hello")

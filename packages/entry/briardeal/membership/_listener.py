"""Connections that agents open to this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from mode import Service

from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Link
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

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        hello = await connection.receive()
        link = Link(connection)
        entry = self.table.join(hello, link) if isinstance(hello, AgentHello) else None
        if entry is None:
            await connection.close()
            return
        log_event(Event.AGENT_JOINED, agent=entry.agent_id, incarnation=hello.incarnation)
        await connection.send(self.hello)
        self.watcher.agent_joined(entry)
        await self._read(entry)
        await connection.close()
        self.table.remove(entry)
        self.watcher.agent_lost(entry)

    async def _read(self, entry: AgentEntry) -> None:
        async def handle(message: AgentMessage) -> None:
            entry.heard_s = self.table.now_s()
            if isinstance(message, Heartbeat):
                entry.endpoint = message.endpoint or entry.endpoint
                await entry.link.connection.send(HeartbeatAck(sequence=message.sequence))
            elif isinstance(message, AgentLeaving):
                entry.leaving = True
                log_event(Event.AGENT_LEFT, agent=entry.agent_id)
            elif isinstance(message, Tasks):
                self.watcher.tasks_changed(entry, message)

        await entry.link.run(handle)

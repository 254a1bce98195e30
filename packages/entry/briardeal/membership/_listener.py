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
"""Time within which a connected agent must send its hello message, in seconds."""


class AgentObserver(Protocol):
    """Observer that is notified of agents that join or are lost, and of reported tasks."""

    def agent_joined(self, entry: AgentEntry) -> None:
        """Handle an agent that connected, and the tasks that its hello message lists."""

    def agent_lost(self, entry: AgentEntry) -> None:
        """Handle an agent that disconnected or whose lease expired."""

    def tasks_changed(self, entry: AgentEntry, tasks: Tasks) -> None:
        """Handle states of tasks that an agent reported."""


class AgentListener(Service):
    """Serves the connections of agents, each in its own asyncio task.

    Parameters
    ----------
    network
        Accepts connections.
    address
        Address to listen on.
    hello
        First message that is sent to each agent.
    table
        Table of live agents.
    observer
        Observer that is notified of agents and their tasks.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        hello: EntryHello,
        table: AgentTable,
        observer: AgentObserver,
    ) -> None:
        super().__init__()
        self.network = network
        self.address = address
        self.hello = hello
        self.table = table
        self.observer = observer
        self.listener: Listener | None = None
        self.agents_without_update: set[str] = set()
        self.closing: set[asyncio.Task[None]] = set()

    async def on_start(self) -> None:
        """Begin to accept connections of agents."""
        self.listener = await self.network.listen(self.address, self.serve)
        self.address = self.listener.address

    async def on_stop(self) -> None:
        """Stop listening and close the connections of all agents."""
        await self.listener.close()
        for entry in list(self.table.agents.values()):
            await entry.link.connection.close()

    @Service.task
    async def _expire_leases(self) -> None:
        while not self.should_stop:
            await self.sleep(self.table.lease_s / 6)
            for entry in self.table.remove_expired():
                log_event(Event.AGENT_EXPIRED, agent=entry.agent_id)
                await entry.link.connection.close()
                self.observer.agent_lost(entry)

    def set_entries(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of the region's entries, which are sent to agents.

        Connected agents receive them with the answer to their next heartbeat.
        """
        self.hello = msgspec.structs.replace(self.hello, entries=addresses)
        self.agents_without_update = set(self.table.agents)

    async def serve(self, connection: Connection) -> None:
        """Serve one connection until it ends."""
        hello = await _receive_hello(connection)
        entry = self._register(hello, Link(connection)) if isinstance(hello, AgentHello) else None
        if entry is None:
            await connection.close()
            return
        await connection.send(self.hello)
        self.observer.agent_joined(entry)
        await self._handle_messages(entry)
        await connection.close()
        if self.table.remove(entry):
            self.observer.agent_lost(entry)

    def _register(self, hello: AgentHello, link: Link) -> AgentEntry | None:
        previous = self.table.agents.get(hello.agent_id)
        entry = self.table.register(hello, link)
        if entry is None:
            return None
        if previous is not None:
            self._close_replaced(previous, entry)
        log_event(Event.AGENT_JOINED, agent=entry.agent_id, incarnation=hello.incarnation)
        return entry

    def _close_replaced(self, previous: AgentEntry, entry: AgentEntry) -> None:
        if previous.hello.incarnation != entry.hello.incarnation:
            log_event(Event.AGENT_REPLACED, agent=entry.agent_id)
        closing = asyncio.create_task(previous.link.connection.close())
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)

    async def _handle_messages(self, entry: AgentEntry) -> None:
        async def handle(message: AgentMessage) -> None:
            entry.last_message_s = self.table.now_s()
            if isinstance(message, Heartbeat):
                self._apply_heartbeat(entry, message)
                await entry.link.connection.send(self._acknowledge(entry, message))
            elif isinstance(message, AgentLeaving):
                entry.leaving = True
                log_event(Event.AGENT_LEFT, agent=entry.agent_id)
            elif isinstance(message, Tasks):
                self.observer.tasks_changed(entry, message)

        await entry.link.run(handle)

    def _acknowledge(self, entry: AgentEntry, heartbeat: Heartbeat) -> HeartbeatAck:
        must_send = entry.agent_id in self.agents_without_update
        self.agents_without_update.discard(entry.agent_id)
        return HeartbeatAck(
            sequence=heartbeat.sequence, entries=self.hello.entries if must_send else ()
        )

    def _apply_heartbeat(self, entry: AgentEntry, heartbeat: Heartbeat) -> None:
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
        return Closed("no hello message arrived in time")

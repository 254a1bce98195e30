"""Connections that agents and other entries have opened to this entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import (
    Acknowledge,
    AgentHello,
    EntryHello,
    Heartbeat,
    OwnerAnnouncement,
    OwnerHeartbeat,
    RelayHello,
    StartResult,
    VmReport,
    WatchRequest,
)
from briardeal_workflow.leadership import OWNER_HEARTBEAT_INTERVAL_S

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection, Listener, Network
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.relay import RelayServer

AGENT_SILENCE_S = 3.0
"""Silence after which the connection of an agent is closed; agents send a beat each 0.4 s."""


class Leader(Protocol):
    """What the hub needs of the owner while this entry is the owner."""

    epoch: int

    def take_report(self, agent_id: str, report: VmReport) -> None:
        """Take what a VM runs."""

    def take_settled(self, agent_id: str, settled: StartResult) -> None:
        """Take what became of an order."""

    def note_heard(self, agent_id: str) -> Acknowledge | None:
        """Return what extends the hold of an agent; `None` where this entry may not."""

    def note_superseded(self, epoch: int) -> None:
        """Note that an agent follows an owner with a higher token."""

    def note_lost(self, agent_id: str) -> None:
        """Note that the connection of an agent has ended."""

    def store_failing_s(self) -> float:
        """Return for how long the store has not taken appends."""


@attrs.define(eq=False)
class AgentLink:
    """An agent that is connected.

    Attributes
    ----------
    agent_id, connection
        Who, and over what.
    heard_s
        When it was last heard, on the loop's clock.
    entries
        Addresses of entries that it was told.
    """

    agent_id: str
    connection: Connection
    heard_s: float
    entries: tuple[str, ...] = ()


class ControlServer:
    """Serves control connections.

    Parameters
    ----------
    network, election, relay
        How to listen, who owns the jobs, and what reaches the store for other entries.

    Attributes
    ----------
    agents
        Connected agents by name.
    leader
        The owner, while it is this entry.
    watchers
        Entries that would take the ownership over.
    """

    def __init__(self, network: Network, election: Election, relay: RelayServer) -> None:
        self.network = network
        self.election = election
        self.relay = relay
        self.agents: dict[str, AgentLink] = {}
        self.owner: Leader | None = None
        self.watchers = 0
        self.listener: Listener | None = None

    async def start(self, address: str) -> None:
        """Listen for agents and entries."""
        self.listener = await self.network.listen(address, self._serve)

    async def lead(self, leader: Leader) -> None:
        """Tell all agents that this entry is the owner."""
        self.owner = leader
        for link in list(self.agents.values()):
            await link.connection.send(OwnerAnnouncement(leader.epoch))

    def stop_leading(self) -> None:
        """Note that this entry is the owner no more."""
        self.owner = None

    async def send(self, agent_id: str, message: object) -> bool:
        """Send a message to an agent and return whether it is connected."""
        link = self.agents.get(agent_id)
        return link is not None and await link.connection.send(message) is None

    async def _serve(self, connection: Connection) -> None:
        first = await connection.receive()
        try:
            if isinstance(first, AgentHello):
                await self._serve_agent(first.agent_id, connection)
            elif isinstance(first, WatchRequest):
                await self._serve_entry(connection)
            elif isinstance(first, RelayHello):
                await self.relay.serve(connection)
        finally:
            await connection.close()

    async def _serve_entry(self, connection: Connection) -> None:
        self.watchers += 1
        try:
            while not isinstance(await connection.send(self._owner_beat()), Closed):
                await asyncio.sleep(OWNER_HEARTBEAT_INTERVAL_S)
        finally:
            self.watchers -= 1

    async def _serve_agent(self, agent_id: str, connection: Connection) -> None:
        link = AgentLink(agent_id, connection, loop_time(), self._addresses())
        replaced = self.agents.get(agent_id)
        self.agents[agent_id] = link
        if replaced is not None:
            await replaced.connection.close()
        log_event(Event.AGENT_JOINED, agent=agent_id)
        await connection.send(EntryHello(self.election.entry_id, link.entries))
        if self.owner is not None:
            await connection.send(OwnerAnnouncement(self.owner.epoch))
        detail = await self._hear(link)
        if self.agents.get(agent_id) is link:
            del self.agents[agent_id]
            log_event(Event.LINK_LOST, agent=agent_id, detail=detail)
            if self.owner is not None:
                self.owner.note_lost(agent_id)

    async def _hear(self, link: AgentLink) -> str:
        while True:
            try:
                async with asyncio.timeout(AGENT_SILENCE_S):
                    message = await link.connection.receive()
            except TimeoutError:
                return "silent"
            if isinstance(message, Closed):
                return message.detail
            link.heard_s = loop_time()
            await self._take(link, message)

    async def _take(self, link: AgentLink, message: object) -> None:
        leader = self.owner
        if leader is not None and getattr(message, "epoch", 0) > leader.epoch:
            leader.note_superseded(message.epoch)
        if isinstance(message, StartResult):
            if leader is not None and message.epoch == leader.epoch:
                leader.take_settled(link.agent_id, message)
        elif isinstance(message, VmReport | Heartbeat):
            await self._answer(link, message)

    async def _answer(self, link: AgentLink, message: VmReport | Heartbeat) -> None:
        leader = self.owner
        answer: Acknowledge | None = None
        if leader is not None and message.epoch == leader.epoch:
            if isinstance(message, VmReport):
                leader.take_report(link.agent_id, message)
            answer = leader.note_heard(link.agent_id)
        if answer is None:
            answer = Acknowledge(0)
        entries = self._addresses()
        told = () if entries == link.entries else entries
        link.entries = entries
        await link.connection.send(
            Acknowledge(message.sequence, answer.epoch, answer.incarnation, answer.ends_kept, told)
        )

    def _owner_beat(self) -> OwnerHeartbeat:
        if not self.election.is_owner:
            return OwnerHeartbeat(0)
        failing_s = self.owner.store_failing_s() if self.owner is not None else 0.0
        return OwnerHeartbeat(self.election.epoch, failing_s)

    def _addresses(self) -> tuple[str, ...]:
        return tuple(sorted(self.election.entries.values()))

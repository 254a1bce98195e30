"""Server for the control connections of agents and other entries."""

from __future__ import annotations

import asyncio
import math
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
    OwnerHeartbeat,
    RelayHello,
    StartResult,
    VmReport,
    WatchRequest,
)
from briardeal_workflow.leadership import (
    MAX_STORE_FAILURE_S,
    OWNER_HEARTBEAT_INTERVAL_S,
    HeardAgents,
)

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection, Listener, Network
    from briardeal_workflow.admission import AdmissionSummary
    from briardeal_workflow.control import OwnerAnnouncement
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.owner._planning_progress import PlanningProgress
    from briardeal_workflow.owner._summaries import SummarySource
    from briardeal_workflow.relay import RelayServer

AGENT_TIMEOUT_S = 3.0
"""Silence after which the connection of an agent is closed; agents send a heartbeat every 0.4 s."""

HEARD_S = 0.8
"""Age of the newest heartbeat of an agent from which the agent counts as not heard by an entry that
may claim. It is less than the silence of the owner before a claim, so that an entry that hears
nobody any more does not count agents that it heard before."""

HEARD_BY_OWNER_S = 1.5
"""Silence after which an agent counts as not heard by the owner."""

MAX_IDLE_S = 1.5
"""Time without a planning round after which acknowledgements say that the owner plans nothing."""


class OwnerCallbacks(Protocol):
    """Methods of the owner that the control server calls while this entry is the owner."""

    epoch: int
    summaries: SummarySource

    def handle_report(self, agent_id: str, report: VmReport) -> None:
        """Process the report of a VM."""

    def make_announcement(self, agent_id: str) -> OwnerAnnouncement:
        """Return the announcement of this owner to an agent."""

    def handle_start_result(self, agent_id: str, result: StartResult) -> None:
        """Process the outcome of a start order."""

    def extend_agent_lease(self, agent_id: str) -> Acknowledge | None:
        """Return an acknowledgement that extends the lease of an agent.

        Returns `None` if the owner may not extend it.
        """

    def handle_superseded(self, epoch: int) -> None:
        """Stop ownership because an agent follows an owner with a higher fencing token."""

    def handle_disconnect(self, agent_id: str) -> None:
        """Mark an agent as unreachable after its connection has closed."""

    def store_failing_s(self) -> float:
        """Return for how long appends to the store have failed, in seconds."""


@attrs.define(eq=False)
class AgentLink:
    """Connection of an agent.

    Attributes
    ----------
    agent_id, connection
        Name of the agent, and its connection.
    last_received_s
        When the newest message was received, on the loop's clock.
    entries
        Control addresses of entries that were last sent to the agent.
    heartbeat_s
        When the newest heartbeat or report was received, on the loop's clock.
    epoch, owner_seen_s
        Fencing token of the owner that the agent follows, and when it sent the newest message that
        this owner acknowledged while it was planning, on the loop's clock.
    """

    agent_id: str
    connection: Connection
    last_received_s: float
    entries: tuple[str, ...] = ()
    heartbeat_s: float = -math.inf
    epoch: int = 0
    owner_seen_s: float = -math.inf


class ControlServer:
    """Accepts connections of agents, of entries that watch the owner, and of relay clients.

    Parameters
    ----------
    network, election, relay
        Network to listen on, election of the owner, and server for store calls of other entries.
    progress
        Progress of the planner, for the heartbeats of the owner.

    Attributes
    ----------
    agents
        Connections of agents by agent name.
    owner
        Owner of the jobs while this entry is elected, otherwise `None`.
    watchers
        Whether each connected entry could take over the ownership, by its connection.
    """

    def __init__(
        self,
        network: Network,
        election: Election,
        relay: RelayServer,
        progress: PlanningProgress,
    ) -> None:
        self.network = network
        self.election = election
        self.relay = relay
        self.progress = progress
        self.agents: dict[str, AgentLink] = {}
        self.owner: OwnerCallbacks | None = None
        self.watchers: dict[Connection, bool] = {}
        self.listener: Listener | None = None

    @property
    def can_hand_over(self) -> bool:
        """Whether a connected entry could take over the ownership at once."""
        return any(self.watchers.values())

    async def start(self, address: str) -> None:
        """Listen for agents and entries."""
        self.listener = await self.network.listen(address, self._serve)

    def announce_owner(self, owner: OwnerCallbacks) -> None:
        """Announce to all agents that this entry is the owner."""
        self.owner = owner
        for link in list(self.agents.values()):
            self._post(link, owner.make_announcement(link.agent_id))

    def announce(self, agent_id: str) -> None:
        """Announce the owner, if this entry is it, to one agent again."""
        if self.owner is not None:
            self.send(agent_id, self.owner.make_announcement(agent_id))

    def clear_owner(self) -> None:
        """Stop passing messages to the owner, as this entry has lost the ownership."""
        self.owner = None

    def send(self, agent_id: str, message: object) -> bool:
        """Send a message to an agent without waiting; return whether its connection took it."""
        link = self.agents.get(agent_id)
        return link is not None and self._post(link, message)

    def hear_agents(self) -> HeardAgents:
        """Return which agents this entry hears, and until when the owner served most of them."""
        now_s, epoch = loop_time(), self.election.epoch
        seen_s = sorted(
            link.owner_seen_s if link.epoch == epoch else -math.inf
            for link in self.agents.values()
            if now_s - link.heartbeat_s <= HEARD_S
        )
        if not seen_s:
            return HeardAgents(0)
        return HeardAgents(len(seen_s), seen_s[(len(seen_s) - 1) // 2])

    async def _serve(self, connection: Connection) -> None:
        first = await connection.receive()
        try:
            if isinstance(first, AgentHello):
                await self._serve_agent(first.agent_id, connection)
            elif isinstance(first, WatchRequest):
                await self._serve_entry(first, connection)
            elif isinstance(first, RelayHello):
                await self.relay.serve(connection)
        finally:
            await connection.close()

    async def _serve_entry(self, request: WatchRequest, connection: Connection) -> None:
        try:
            async with asyncio.TaskGroup() as tasks:
                heartbeats = tasks.create_task(self._send_heartbeats(connection))
                message: object = request
                while not isinstance(message, Closed):
                    if isinstance(message, WatchRequest):
                        self.watchers[connection] = message.can_take_over
                    message = await connection.receive()
                heartbeats.cancel()
        finally:
            self.watchers.pop(connection, None)

    async def _send_heartbeats(self, connection: Connection) -> None:
        sent: AdmissionSummary | None = None
        while True:
            newest = self.owner.summaries.newest if self.owner is not None else None
            heartbeat = self._owner_heartbeat(newest if newest is not sent else None)
            sent = newest
            if isinstance(await connection.send(heartbeat), Closed):
                return
            await asyncio.sleep(OWNER_HEARTBEAT_INTERVAL_S)

    async def _serve_agent(self, agent_id: str, connection: Connection) -> None:
        link = AgentLink(agent_id, connection, loop_time(), self._entry_addresses())
        replaced = self.agents.get(agent_id)
        self.agents[agent_id] = link
        if replaced is not None:
            await replaced.connection.close()
        log_event(Event.AGENT_JOINED, agent=agent_id)
        self._post(link, EntryHello(self.election.entry_id, link.entries))
        self.announce(agent_id)
        self._remove(link, await self._receive_messages(link))

    async def _receive_messages(self, link: AgentLink) -> str:
        while True:
            try:
                async with asyncio.timeout(AGENT_TIMEOUT_S):
                    message = await link.connection.receive()
            except TimeoutError:
                return "silent"
            if isinstance(message, Closed):
                return message.detail
            link.last_received_s = loop_time()
            if isinstance(message, Heartbeat | VmReport):
                self._record_heartbeat(link, message)
            self._handle_message(link, message)

    def _record_heartbeat(self, link: AgentLink, message: Heartbeat | VmReport) -> None:
        """Record a message, in which an agent that follows this entry says nothing about others."""
        link.heartbeat_s = link.last_received_s
        link.epoch = message.epoch
        age_ms = message.owner_age_ms if isinstance(message, Heartbeat) else -1
        age_s = age_ms / 1000 if age_ms >= 0 else math.inf
        link.owner_seen_s = link.last_received_s - age_s

    def _handle_message(self, link: AgentLink, message: object) -> None:
        owner = self.owner
        if owner is not None and getattr(message, "epoch", 0) > owner.epoch:
            owner.handle_superseded(message.epoch)
        if isinstance(message, StartResult):
            if owner is not None and message.epoch == owner.epoch:
                owner.handle_start_result(link.agent_id, message)
        elif isinstance(message, VmReport | Heartbeat):
            self._acknowledge(link, message)

    def _acknowledge(self, link: AgentLink, message: VmReport | Heartbeat) -> None:
        owner = self.owner
        answer: Acknowledge | None = None
        plans = False
        if owner is not None and message.epoch == owner.epoch:
            plans = self.progress.idle_s() <= MAX_IDLE_S
            plans = plans and owner.store_failing_s() <= MAX_STORE_FAILURE_S
            if isinstance(message, VmReport):
                owner.handle_report(link.agent_id, message)
            answer = owner.extend_agent_lease(link.agent_id)
        if answer is None:
            answer = Acknowledge(0)
        entries = self._entry_addresses()
        sent_entries = () if entries == link.entries else entries
        link.entries = entries
        self._post(
            link,
            Acknowledge(
                message.sequence,
                answer.epoch,
                answer.incarnation,
                answer.ends_kept,
                sent_entries,
                plans,
                answer.pace,
            ),
        )

    def _post(self, link: AgentLink, message: object) -> bool:
        """Send a message without waiting, so that no VM delays others; return whether it went."""
        closed = link.connection.post(message)
        if closed is not None:
            self._remove(link, closed.detail)
        return closed is None

    def _remove(self, link: AgentLink, detail: str) -> None:
        """Remove the connection of an agent unless another one has replaced it."""
        if self.agents.get(link.agent_id) is not link:
            return
        del self.agents[link.agent_id]
        log_event(Event.LINK_LOST, agent=link.agent_id, detail=detail)
        if self.owner is not None:
            self.owner.handle_disconnect(link.agent_id)

    def _owner_heartbeat(self, summary: AdmissionSummary | None = None) -> OwnerHeartbeat:
        if not self.election.is_owner:
            return OwnerHeartbeat(0)
        failing_s = self.owner.store_failing_s() if self.owner is not None else 0.0
        idle_s = self.progress.idle_s()
        now_s = loop_time()
        heard = sum(
            now_s - link.last_received_s <= HEARD_BY_OWNER_S for link in self.agents.values()
        )
        return OwnerHeartbeat(self.election.epoch, failing_s, round(idle_s, 3), heard, summary)

    def _entry_addresses(self) -> tuple[str, ...]:
        return tuple(sorted(self.election.entries.values()))

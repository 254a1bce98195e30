"""The connection from an agent to one entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from msgspec import structs

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_protocol.messages import (
    Admit,
    EntryHello,
    GangsWhole,
    Heartbeat,
    HeartbeatAck,
    Release,
    ReserveTask,
    StartTask,
    StopTask,
    TakeInventory,
)

if TYPE_CHECKING:
    import random

    from briardeal_protocol.connections import Connection, Network
    from briardeal_protocol.messages import (
        AgentHello,
        AgentMessage,
        EndpointState,
        EntryMessage,
    )

SILENCE_TIMEOUT_S = 3.0
"""Time without a message after which a connection is closed, in seconds."""

DEFAULT_HEARTBEAT_INTERVAL_S = 1.0
"""Heartbeat interval, in seconds, until the entry's hello sets another."""

RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 3.0
TASK_ORDERS = ReserveTask | StartTask | StopTask | TakeInventory | GangsWhole


class Host(Protocol):
    """Interface of the agent that a link uses."""

    def create_hello(self) -> AgentHello:
        """Return the first message of a connection."""

    def endpoint_state(self) -> EndpointState | None:
        """Return the state of the endpoint."""

    def connect_entries(self, addresses: tuple[str, ...]) -> None:
        """Connect to all entries."""

    def handle_lost_entry(self, entry: EntryHello) -> None:
        """Handle the loss of the connection to an entry."""

    async def handle_message(self, link: EntryLink, message: EntryMessage) -> AgentMessage | None:
        """Execute an order and return the answer, if any."""


class EntryLink:
    """Keeps a connection to one entry open and executes the orders received over it.

    Parameters
    ----------
    host
        The agent.
    network
        Opens connections.
    address
        Agent address of the entry.
    rng
        Source of jitter.

    Attributes
    ----------
    entry
        Hello of the connected entry; `None` while there is no connection.
    lost_s
        Time at which the connection was lost, or the link created, on the loop's clock.
    """

    def __init__(self, host: Host, network: Network, address: str, rng: random.Random) -> None:
        self.host = host
        self.network = network
        self.address = address
        self.rng = rng
        self.entry: EntryHello | None = None
        self.connection: Connection | None = None
        self.last_received_s = 0.0
        self.lost_s = loop_time()
        self.last_sent_state: EndpointState | None = None
        self.orders: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Connect repeatedly, with jittered exponential back-off, until cancelled."""
        backoff_s = RECONNECT_MIN_S
        while True:
            if await self._connect() and await self._serve():
                backoff_s = RECONNECT_MIN_S
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(2 * backoff_s, RECONNECT_MAX_S)

    async def send(self, message: AgentMessage) -> None:
        """Send a message if the connection is open."""
        if self.connection is not None and self.entry is not None:
            await self.connection.send(message)

    async def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            await self.connection.close()

    async def _connect(self) -> bool:
        connection = await self.network.connect(self.address)
        if isinstance(connection, Closed):
            return False
        self.connection = connection
        hello = self.host.create_hello()
        self.last_sent_state = _without_load(hello.endpoint)
        await connection.send(hello)
        self.last_received_s = loop_time()
        return True

    async def _serve(self) -> bool:
        """Serve the connection until it closes; return whether the entry sent its hello."""
        connection = self.connection
        heartbeats = asyncio.create_task(self._send_heartbeats(connection))
        try:
            while not isinstance(message := await connection.receive(), Closed):
                self.last_received_s = loop_time()
                await self._dispatch(connection, message)
        finally:
            heartbeats.cancel()
            entry, self.entry = self.entry, None
            self.connection = None
            self.lost_s = loop_time()
            if entry is not None:
                self.host.handle_lost_entry(entry)
            await connection.close()
            log_event(Event.LINK_LOST, peer=self.address)
        return entry is not None

    async def _send_heartbeats(self, connection: Connection) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(
                self.entry.heartbeat_interval_s if self.entry else DEFAULT_HEARTBEAT_INTERVAL_S
            )
            silence_s = loop_time() - self.last_received_s
            if silence_s >= SILENCE_TIMEOUT_S:
                await connection.close()
                return
            sequence += 1
            await connection.send(self._create_heartbeat(sequence))

    def _create_heartbeat(self, sequence: int) -> Heartbeat:
        endpoint = self.host.endpoint_state()
        state = _without_load(endpoint)
        changed = state != self.last_sent_state
        self.last_sent_state = state
        return Heartbeat(
            sequence=sequence,
            endpoint=endpoint if changed else None,
            slots_in_use=endpoint.slots_in_use if endpoint is not None else 0,
            without_endpoint=endpoint is None,
        )

    async def _dispatch(self, connection: Connection, message: EntryMessage) -> None:
        if isinstance(message, EntryHello):
            self.entry = message
            log_event(Event.LINK_OPENED, peer=message.entry_id)
            self.host.connect_entries(message.entries)
        elif isinstance(message, HeartbeatAck):
            self.host.connect_entries(message.entries)
        elif isinstance(message, Admit | Release) and self.entry is not None:
            # Handled without a new task, so that a release never overtakes its admission.
            await self._handle_order(connection, message)
        elif isinstance(message, TASK_ORDERS):
            task = asyncio.create_task(self._handle_order(connection, message))
            self.orders.add(task)
            task.add_done_callback(self.orders.discard)

    async def _handle_order(self, connection: Connection, message: EntryMessage) -> None:
        answer = await self.host.handle_message(self, message)
        if answer is not None:
            await connection.send(answer)


def _without_load(endpoint: EndpointState | None) -> EndpointState | None:
    if endpoint is None:
        return None
    return structs.replace(endpoint, slots_in_use=0)

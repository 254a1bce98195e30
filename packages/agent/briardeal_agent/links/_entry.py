"""The connection from an agent to one entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_protocol.messages import (
    Admit,
    EntryHello,
    Heartbeat,
    HeartbeatAck,
    Release,
    ReserveTask,
    StartTask,
    StopTask,
)

if TYPE_CHECKING:
    import random

    from briardeal_protocol.connections import Connection, Network
    from briardeal_protocol.messages import AgentHello, AgentMessage, EndpointState, EntryMessage

SILENCE_TIMEOUT_S = 3.0
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 3.0


class Host(Protocol):
    """What a link needs of the agent that it belongs to."""

    def hello(self) -> AgentHello:
        """Return the first message of a connection."""

    def endpoint(self) -> EndpointState | None:
        """Return the state of the endpoint."""

    def learn_entries(self, addresses: tuple[str, ...]) -> None:
        """Take the addresses of all entries."""

    async def answer(self, link: EntryLink, message: EntryMessage) -> AgentMessage | None:
        """Carry out an order and return the answer."""


class EntryLink:
    """Keeps a connection to one entry open and answers what comes over it.

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
    """

    def __init__(self, host: Host, network: Network, address: str, rng: random.Random) -> None:
        self.host = host
        self.network = network
        self.address = address
        self.rng = rng
        self.entry: EntryHello | None = None
        self.connection: Connection | None = None
        self.last_heard_s = 0.0
        self.told: EndpointState | None = None
        self.orders: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Connect again and again, with jittered back-off, until cancelled."""
        backoff_s = RECONNECT_MIN_S
        while True:
            if await self._connect():
                backoff_s = RECONNECT_MIN_S
                await self._serve()
            await asyncio.sleep(backoff_s * self.rng.uniform(0.5, 1.5))
            backoff_s = min(2 * backoff_s, RECONNECT_MAX_S)

    async def send(self, message: AgentMessage) -> None:
        """Send a message, if the connection is open."""
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
        hello = self.host.hello()
        self.told = hello.endpoint
        await connection.send(hello)
        self.last_heard_s = asyncio.get_running_loop().time()
        return True

    async def _serve(self) -> None:
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            while not isinstance(message := await self.connection.receive(), Closed):
                self.last_heard_s = asyncio.get_running_loop().time()
                self._handle(message)
        finally:
            heartbeats.cancel()
            self.entry = None
            await self.connection.close()
            self.connection = None
            log_event(Event.LINK_LOST, peer=self.address)

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            await asyncio.sleep(self.entry.heartbeat_interval_s if self.entry else 1.0)
            silence_s = asyncio.get_running_loop().time() - self.last_heard_s
            if silence_s > SILENCE_TIMEOUT_S:
                await self.connection.close()
                return
            sequence += 1
            await self.connection.send(
                Heartbeat(sequence=sequence, endpoint=self._changed_endpoint())
            )

    def _changed_endpoint(self) -> EndpointState | None:
        endpoint = self.host.endpoint()
        if endpoint == self.told:
            return None
        self.told = endpoint
        return endpoint

    def _handle(self, message: EntryMessage) -> None:
        if isinstance(message, EntryHello):
            self.entry = message
            log_event(Event.LINK_OPENED, peer=message.entry_id)
            self.host.learn_entries(message.entries)
        elif isinstance(message, HeartbeatAck):
            self.host.learn_entries(message.entries)
        elif isinstance(message, Admit | Release | ReserveTask | StartTask | StopTask):
            task = asyncio.create_task(self._answer(message))
            self.orders.add(task)
            task.add_done_callback(self.orders.discard)

    async def _answer(self, message: EntryMessage) -> None:
        connection = self.connection
        answer = await self.host.answer(self, message)
        if answer is not None and connection is not None:
            await connection.send(answer)

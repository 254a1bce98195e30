"""Connections within one process, with fault injection for tests."""

from __future__ import annotations

import asyncio
import contextvars
import itertools
from typing import TYPE_CHECKING

from briardeal_protocol.connections._codec import JSON_LINES
from briardeal_protocol.connections._connection import (
    MAX_UNSENT_BYTES,
    READS_TOO_SLOWLY,
    Closed,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from briardeal_protocol.connections._codec import Codec
    from briardeal_protocol.connections._connection import Connection
    from briardeal_protocol.messages import Message

CONNECT_RETRY_S = 0.05
"""Interval at which a connection to a host that is cut off is tried again."""


class MemoryConnection:
    """One end of a connection within the process.

    Parameters
    ----------
    network
        Network that the connection belongs to.
    address
        Address that the connection was opened to; the same at both ends.
    client
        Host that opened the connection; empty if the network does not know it.

    Attributes
    ----------
    remote
        The other end.
    silent
        Whether messages from this end are dropped while both ends stay open.
    stalled
        Whether the other end reads nothing and all buffers on the way are full, so that messages
        from this end wait for ever.
    unsent_bytes
        Size of all messages that were posted while the connection was stalled.
    closed
        Whether this end is closed.
    bytes_sent, bytes_received
        Size of all encoded messages so far, in bytes.
    """

    def __init__(self, network: MemoryNetwork, address: str, client: str = "") -> None:
        self.network = network
        self.address = address
        self.client = client
        self.remote: MemoryConnection = self
        self.silent = False
        self.stalled = False
        self.unsent_bytes = 0
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def send(self, message: Message) -> Closed | None:
        """Send one message, which arrives after the latency of the network."""
        if self.closed:
            return Closed("closed")
        line = self.network.codec.encode(message)
        if self.stalled:
            await asyncio.Event().wait()
        self._transmit(line)
        return None

    def post(self, message: Message) -> Closed | None:
        """Send one message without waiting; return `Closed` on failure."""
        if self.closed:
            return Closed("closed")
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self._mark_closed()
            return Closed(READS_TOO_SLOWLY)
        line = self.network.codec.encode(message)
        if self.stalled:
            self.unsent_bytes += len(line)
        else:
            self._transmit(line)
        return None

    async def receive(self) -> Message | Closed:
        """Wait for the next message; return `Closed` after the last one."""
        while not self.closed:
            line = await self._lines.get()
            if line is None:
                break
            self.bytes_received += len(line)
            message = self.network.codec.decode(line)
            if message is not None:
                return message
        return Closed("closed")

    async def close(self) -> None:
        """Close the connection; the other end is notified unless this end is silent."""
        self.closed = True
        self._lines.put_nowait(None)
        if not self.silent and not self.network.is_cut(self.client, self.address):
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.remote._mark_closed)

    def _transmit(self, line: bytes) -> None:
        self.bytes_sent += len(line)
        if self.network.is_cut(self.client, self.address):
            self.silent = True
        if not self.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.remote._lines.put_nowait, line)

    def _mark_closed(self) -> None:
        self.closed = True
        self._lines.put_nowait(None)


class MemoryListener:
    """A listening address within the process."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def close(self) -> None:
        """Stop accepting connections."""
        self.network.listeners.pop(self.address, None)


class MemoryHost:
    """The network as one host uses it, which can be cut off from other hosts.

    Parameters
    ----------
    network, name
        Shared network, and name of the host: the part of its addresses before the port.
    """

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self.network = network
        self.name = name

    async def connect(self, address: str) -> MemoryConnection | Closed:
        """Open a connection to an address; wait without an answer if its host is cut off."""
        while self.network.is_cut(self.name, address):
            await asyncio.sleep(CONNECT_RETRY_S)
        return await self.network.connect(address, self.name)

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> MemoryListener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""
        return await self.network.listen(address, serve)


class MemoryNetwork:
    """Connections within one process.

    Parameters
    ----------
    latency_s
        One-way latency of every message, in seconds.
    codec
        Encoding of messages.

    Attributes
    ----------
    listeners
        Function that serves the connections to each listening address.
    contexts
        Context variables of the process that listens on each address.
    unreachable
        Addresses to which connecting fails.
    cuts
        Pairs of hosts whose messages to each other are dropped. A connection that has lost a
        message stays silent afterwards.
    connections
        Both ends of every connection opened so far.
    tasks
        Running tasks that serve connections.
    """

    def __init__(self, latency_s: float = 0.0005, codec: Codec = JSON_LINES) -> None:
        self.latency_s = latency_s
        self.codec = codec
        self.listeners: dict[str, Callable[[Connection], Awaitable[None]]] = {}
        self.contexts: dict[str, contextvars.Context] = {}
        self.unreachable: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.connections: list[MemoryConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def is_cut(self, host: str, address: str) -> bool:
        """Return whether messages between a host and the host of an address are dropped."""
        return frozenset((host, address.rpartition(":")[0])) in self.cuts

    def cut_off(self, hosts: Iterable[str], others: Iterable[str]) -> None:
        """Drop the messages between hosts and others until `cuts` is cleared."""
        self.cuts |= {frozenset(pair) for pair in itertools.product(hosts, others)}

    async def connect(self, address: str, client: str = "") -> MemoryConnection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""
        await asyncio.sleep(2 * self.latency_s)
        serve = self.listeners.get(address)
        if serve is None or address in self.unreachable:
            return Closed(f"nothing listens on {address}, or it is unreachable")
        near = MemoryConnection(self, address, client)
        far = MemoryConnection(self, address, client)
        near.remote, far.remote = far, near
        self.connections += [near, far]
        # The server end runs with the context variables of the process that listens.
        context = self.contexts[address].copy()
        task = asyncio.get_running_loop().create_task(serve(far), context=context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return near

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> MemoryListener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""
        self.listeners[address] = serve
        self.contexts[address] = contextvars.copy_context()
        return MemoryListener(self, address)

    def silence(self, address: str) -> None:
        """Drop messages silently on every open connection to an address; new ones work."""
        for connection in self.connections:
            if connection.address == address:
                connection.silent = True

    def cut(self, address: str) -> None:
        """Close every connection to an address and reject new ones."""
        self.unreachable.add(address)
        for connection in self.connections:
            if connection.address == address:
                connection._mark_closed()

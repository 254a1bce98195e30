"""Connections within one process, with fault injection for tests."""

from __future__ import annotations

import asyncio
import contextvars
from typing import TYPE_CHECKING

from briardeal_protocol.connections._codec import JSON_LINES
from briardeal_protocol.connections._connection import Closed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections._codec import Codec
    from briardeal_protocol.connections._connection import Connection
    from briardeal_protocol.messages import Message


class MemoryConnection:
    """One end of a connection within the process.

    Parameters
    ----------
    network
        Network that the connection belongs to.
    address
        Address that the connection was opened to; the same at both ends.

    Attributes
    ----------
    remote
        The other end.
    silent
        Whether messages from this end are dropped while both ends stay open.
    closed
        Whether this end is closed.
    bytes_sent, bytes_received
        Size of all encoded messages so far, in bytes.
    """

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.remote: MemoryConnection = self
        self.silent = False
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def send(self, message: Message) -> Closed | None:
        """Send one message, which arrives after the latency of the network."""
        if self.closed:
            return Closed("closed")
        line = self.network.codec.encode(message)
        self.bytes_sent += len(line)
        if not self.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.remote._lines.put_nowait, line)
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
        if not self.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.remote._mark_closed)

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
        self.connections: list[MemoryConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def connect(self, address: str) -> MemoryConnection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""
        await asyncio.sleep(2 * self.latency_s)
        serve = self.listeners.get(address)
        if serve is None or address in self.unreachable:
            return Closed(f"nothing listens on {address}, or it is unreachable")
        client, server = MemoryConnection(self, address), MemoryConnection(self, address)
        client.remote, server.remote = server, client
        self.connections += [client, server]
        # The server end runs with the context variables of the process that listens.
        context = self.contexts[address].copy()
        task = asyncio.get_running_loop().create_task(serve(server), context=context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return client

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

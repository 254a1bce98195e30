"""Connections within one process, with faults to order."""

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

    Attributes
    ----------
    other
        The other end.
    silent
        Whether messages from this end vanish while both ends stay open.
    """

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.other: MemoryConnection = self
        self.silent = False
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def send(self, message: Message) -> Closed | None:
        """Send one message; it arrives after the latency of the network."""
        if self.closed:
            return Closed("closed")
        line = self.network.codec.encode(message)
        self.bytes_sent += len(line)
        if not self.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.other._lines.put_nowait, line)
        return None

    async def receive(self) -> Message | Closed:
        """Wait for the next message."""
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
        """End the connection; the other end learns of it unless it is silent."""
        self.closed = True
        self._lines.put_nowait(None)
        if not self.silent:
            loop = asyncio.get_running_loop()
            loop.call_later(self.network.latency_s, self.other._end)

    def _end(self) -> None:
        self.closed = True
        self._lines.put_nowait(None)


class MemoryListener:
    """An address within the process."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def close(self) -> None:
        """Take no more connections."""
        self.network.listeners.pop(self.address, None)


class MemoryNetwork:
    """Connections within one process.

    Parameters
    ----------
    latency_s
        One-way latency of every message, in seconds.
    codec
        How messages are written as lines.

    Attributes
    ----------
    unreachable
        Addresses that can't be connected to.
    connections
        Both ends of every connection opened so far.
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
        """Open a connection to an address."""
        await asyncio.sleep(2 * self.latency_s)
        serve = self.listeners.get(address)
        if serve is None or address in self.unreachable:
            return Closed(f"{address} can't be reached")
        near, far = MemoryConnection(self, address), MemoryConnection(self, address)
        near.other, far.other = far, near
        self.connections += [near, far]
        # The far end runs with the context variables of the process that listens.
        context = self.contexts[address].copy()
        task = asyncio.get_running_loop().create_task(serve(far), context=context)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return near

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> MemoryListener:
        """Run `serve` in a task of its own for each connection to an address."""
        self.listeners[address] = serve
        self.contexts[address] = contextvars.copy_context()
        return MemoryListener(self, address)

    def silence(self, address: str) -> None:
        """Let every open connection to an address go silent, while new ones work."""
        for connection in self.connections:
            if connection.address == address:
                connection.silent = True

    def cut(self, address: str) -> None:
        """Close every connection to an address and let no new one open."""
        self.unreachable.add(address)
        for connection in self.connections:
            if connection.address == address:
                connection._end()

"""Connections over TCP, with one line per message."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from briardeal_protocol.connections._codec import JSON_LINES
from briardeal_protocol.connections._connection import (
    MAX_UNSENT_BYTES,
    READS_TOO_SLOWLY,
    Closed,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections._codec import Codec
    from briardeal_protocol.connections._connection import Connection, Listener
    from briardeal_protocol.messages import Message

LINE_LIMIT_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0


class TcpConnection:
    """A connection over a TCP stream.

    Parameters
    ----------
    reader, writer
        The stream.
    codec
        Encoding of messages as lines.

    Attributes
    ----------
    bytes_sent, bytes_received
        Size of all encoded messages so far, in bytes.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, codec: Codec
    ) -> None:
        self.reader = reader
        self.codec = codec
        self.writer = writer
        self.bytes_sent = 0
        self.bytes_received = 0

    async def send(self, message: Message) -> Closed | None:
        """Send one message; return `Closed` on failure."""
        line = self.codec.encode(message)
        try:
            self.writer.write(line)
            await self.writer.drain()
        except OSError as error:
            return Closed(str(error))
        self.bytes_sent += len(line)
        return None

    def post(self, message: Message) -> Closed | None:
        """Send one message without waiting; return `Closed` on failure."""
        transport = self.writer.transport
        if transport.is_closing():
            return Closed("closed")
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return Closed(READS_TOO_SLOWLY)
        line = self.codec.encode(message)
        self.writer.write(line)
        self.bytes_sent += len(line)
        return None

    async def receive(self) -> Message | Closed:
        """Wait for the next message; lines that can't be decoded are skipped."""
        while True:
            try:
                line = await self.reader.readuntil(b"\n")
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
                return Closed(str(error))
            self.bytes_received += len(line)
            message = self.codec.decode(line)
            if message is not None:
                return message

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class TcpListener:
    """A listening TCP address."""

    def __init__(self, server: asyncio.Server) -> None:
        self.server = server
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop accepting connections."""
        self.server.close()


class TcpNetwork:
    """Connections over TCP.

    Parameters
    ----------
    codec
        Encoding of messages as lines.
    """

    def __init__(self, codec: Codec = JSON_LINES) -> None:
        self.codec = codec

    async def connect(self, address: str) -> Connection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                opened = await asyncio.open_connection(host, int(port), limit=LINE_LIMIT_BYTES)
        except (OSError, ValueError, OverflowError) as error:
            # An address of another process may have no port, or one out of range.
            return Closed(str(error))
        return TcpConnection(*opened, self.codec)

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> Listener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""
        host, _, port = address.rpartition(":")

        async def serve_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # The callback of asyncio.start_server reports a cancelled task as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await serve(TcpConnection(reader, writer, self.codec))

        server = await asyncio.start_server(serve_stream, host, int(port), limit=LINE_LIMIT_BYTES)
        return TcpListener(server)

"""Connections over TCP, with one line per message."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from briardeal_protocol.connections._codec import JSON_LINES
from briardeal_protocol.connections._connection import (
    MAX_UNSENT_BYTES,
    READS_TOO_SLOWLY,
    Closed,
)
from briardeal_protocol.connections._unknown import (
    ACCEPTS_IN_TURN,
    BACKLOG,
    FIRST_LINE_BYTES,
    FIRST_MESSAGE_S,
    MAX_UNKNOWN_PEERS,
    PeerReader,
    UnknownPeers,
    open_listening_socket,
    raise_receive_buffer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections._codec import Codec
    from briardeal_protocol.connections._connection import Connection, Listener
    from briardeal_protocol.messages import Message

LINE_LIMIT_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0

FIRST_MESSAGE_TOO_LARGE = "the first message is too large"
"""Detail of a connection whose peer sends much and does not say who it is."""


class TcpConnection:
    """A connection over a TCP stream.

    Parameters
    ----------
    reader, writer
        The stream.
    codec
        Encoding of messages as lines.
    unknown
        Connections accepted from peers that have not said who they are, with this one; `None` for
        a connection that was opened here.

    Attributes
    ----------
    bytes_sent, bytes_received
        Size of all encoded messages so far, in bytes.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: Codec,
        unknown: UnknownPeers | None = None,
    ) -> None:
        self.unknown = unknown
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
        """Wait for the next message; lines that can't be decoded are skipped.

        The first message of an accepted connection has bounds of its own in time and size, which
        lines that can't be decoded use up as well.
        """
        if self.unknown is None:
            return await self._receive_message()
        message = await self._receive_first()
        self.unknown.remove(self)
        self.unknown = None
        return message

    def abort(self) -> None:
        """Close the connection at once; a waiting `receive` returns `Closed`."""
        self.writer.transport.abort()

    async def _receive_first(self) -> Message | Closed:
        try:
            async with asyncio.timeout(FIRST_MESSAGE_S):
                message = await self._receive_message(FIRST_LINE_BYTES)
        except TimeoutError:
            self.unknown.count("first_message_late")
            return Closed("no message came")
        if not isinstance(message, Closed):
            self.reader.set_limit(LINE_LIMIT_BYTES)
            raise_receive_buffer(self.writer.transport)
        elif message.detail == FIRST_MESSAGE_TOO_LARGE:
            self.unknown.count("first_message_too_large")
        return message

    async def _receive_message(self, max_bytes: float = math.inf) -> Message | Closed:
        skipped_bytes = 0
        while skipped_bytes <= max_bytes:
            try:
                line = await self.reader.readuntil(b"\n")
            except asyncio.LimitOverrunError as error:
                return Closed(str(error) if max_bytes == math.inf else FIRST_MESSAGE_TOO_LARGE)
            except (OSError, asyncio.IncompleteReadError) as error:
                return Closed(str(error))
            self.bytes_received += len(line)
            message = self.codec.decode(line)
            if message is not None:
                return message
            skipped_bytes += len(line)
        return Closed(FIRST_MESSAGE_TOO_LARGE)

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

    Attributes
    ----------
    max_unknown_peers
        Maximum number of accepted connections whose peer has not said who it is.
    on_closed
        Called with the reason for each connection that is closed because of its first message.
    """

    def __init__(self, codec: Codec = JSON_LINES) -> None:
        self.codec = codec
        self.max_unknown_peers = MAX_UNKNOWN_PEERS
        self.on_closed: Callable[[str], None] = lambda reason: None

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
        unknown = UnknownPeers(self)

        async def serve_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = TcpConnection(reader, writer, self.codec, unknown)
            unknown.add(connection)
            try:
                await serve(connection)
            except asyncio.CancelledError:
                # The callback of asyncio.StreamReaderProtocol reports a cancelled task as an error.
                connection.abort()
            finally:
                unknown.remove(connection)

        loop = asyncio.get_running_loop()
        listening = open_listening_socket(host, int(port))
        server = await loop.create_server(
            lambda: asyncio.StreamReaderProtocol(PeerReader(FIRST_LINE_BYTES), serve_stream),
            sock=listening,
            backlog=ACCEPTS_IN_TURN,
        )
        # asyncio uses one number for both the connections accepted in a row and those that wait.
        listening.listen(BACKLOG)
        return TcpListener(server)

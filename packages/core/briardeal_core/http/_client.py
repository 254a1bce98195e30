"""An HTTP client with persistent connections."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from briardeal_core.http._transfer import TransferDeadline

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
IDLE_LIMIT_S = 10.0
"""Maximum idle time of a connection; servers close idle connections after 15 s or more."""


@dataclass(frozen=True)
class HttpReply:
    """A complete response.

    Parameters
    ----------
    status
        HTTP status code.
    body
        Content.
    """

    status: int
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """A request without a complete response.

    Parameters
    ----------
    detail
        The error, as text.
    sent
        Whether the request may have reached the server.
    refused
        Whether the server refused the connection.
    received_bytes
        Size of the part of the response that has arrived.
    """

    detail: str
    sent: bool = True
    refused: bool = False
    received_bytes: int = 0


class HttpClient:
    """Sends requests to one address over persistent connections.

    Parameters
    ----------
    address
        Address of the server, as `IP:PORT`.
    idle_limit_s
        Maximum idle time of a connection, in seconds.
    host
        Value of the `Host` header; by default the address.

    Attributes
    ----------
    opened
        Number of connections opened so far.
    """

    def __init__(self, address: str, idle_limit_s: float = IDLE_LIMIT_S, host: str = "") -> None:
        self.address = address
        self.host = host or address
        self.idle_limit_s = idle_limit_s
        self.opened = 0
        self._idle: list[_ClientConnection] = []

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
        on_data: Callable[[], None] | None = None,
    ) -> HttpReply | HttpFailure:
        """Send a request and wait for the complete response.

        Parameters
        ----------
        method, path, body, headers
            The request.
        timeout_s
            Longest time until the response is complete, in seconds; with `on_data`, until it
            begins. `TransferDeadline` then decides how long the rest of it may take.
        on_data
            Called whenever a part of the body of a successful response has arrived.

        Raises
        ------
        asyncio.CancelledError
            If the calling task is cancelled; the connection is closed.
        """
        connection: _ClientConnection | None = None
        began_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                connection = self._pop_idle() or await self._open()
                connection.on_data = _extend(timeout, timeout_s, on_data)
                reply = await connection.exchange(method, self.host, path, body, headers)
        except (OSError, OverflowError, h11.ProtocolError) as error:
            if connection is not None:
                connection.close()
            if isinstance(error, TimeoutError):
                self._close_idle(began_s)
            return _describe_failure(error, connection)
        except asyncio.CancelledError:
            if connection is not None:
                connection.close()
            raise
        self._release(connection)
        return reply

    def close(self) -> None:
        """Close the idle connections."""
        self._close_idle(math.inf)

    def _close_idle(self, used_until_s: float) -> None:
        """Close the idle connections that have not been used since.

        Connections may all go silent at the same time. If one has, only a use since then shows that
        another has not.
        """
        used = [each for each in self._idle if each.last_used_s > used_until_s]
        for connection in self._idle:
            if connection not in used:
                connection.close()
        self._idle = used

    def _pop_idle(self) -> _ClientConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if (
                now_s - connection.last_used_s < self.idle_limit_s
                and not connection.reader.at_eof()
            ):
                return connection
            connection.close()
        return None

    async def _open(self) -> _ClientConnection:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.opened += 1
        return _ClientConnection(reader, writer)

    def _release(self, connection: _ClientConnection) -> None:
        if connection.reusable:
            connection.last_used_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()


async def fetch(
    method: str, address: str, path: str, body: bytes = b"", *, timeout_s: float
) -> HttpReply | HttpFailure:
    """Send one request to `address` on a new connection and close the connection."""
    client = HttpClient(address)
    reply = await client.request(method, path, body, timeout_s=timeout_s)
    client.close()
    return reply


def _extend(
    timeout: asyncio.Timeout, timeout_s: float, on_data: Callable[[], None] | None
) -> Callable[[int, int], None]:
    """Return a function that extends a timeout with each part of a response that arrives."""
    if on_data is None:
        return _ignore_data
    loop = asyncio.get_running_loop()
    deadline = TransferDeadline(timeout.when() - timeout_s, timeout_s)

    def extend(status: int, received_bytes: int) -> None:
        if not timeout.expired():
            timeout.reschedule(deadline.record(received_bytes, loop.time()))
        if status == HTTPStatus.OK:
            on_data()

    return extend


def _ignore_data(status: int, received_bytes: int) -> None:
    """Let the timeout hold for the whole response."""


def _describe_failure(error: Exception, connection: _ClientConnection | None) -> HttpFailure:
    received_bytes = 0 if connection is None else connection.received_bytes
    detail = f"{type(error).__name__}: {error}".removesuffix(": ")
    if received_bytes:
        # Tells a server that is still sending from one that is silent.
        detail += f" after {received_bytes} bytes of the response"
    return HttpFailure(
        detail,
        sent=connection is not None,
        refused=isinstance(error, ConnectionRefusedError),
        received_bytes=received_bytes,
    )


class _ClientConnection:
    """One connection to a server.

    Attributes
    ----------
    received_bytes
        Size of the part of the newest response that has arrived.
    on_data
        Called with the status of a response and the size of each part of its body, in bytes.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.last_used_s = 0.0
        self.reusable = False
        self.received_bytes = 0
        self.on_data: Callable[[int, int], None] = _ignore_data

    async def exchange(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> HttpReply:
        """Send one request and read the response."""
        fields = [("Host", host), ("Content-Length", str(len(body))), *headers]
        request = h11.Request(method=method, target=path, headers=fields)
        self.reusable = False
        self.received_bytes = 0
        data = self.protocol.send(request) + self.protocol.send(h11.Data(data=body))
        self.writer.write(data + self.protocol.send(h11.EndOfMessage()))
        reply = await self._read_reply()
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            self.reusable = True
        return reply

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def _read_reply(self) -> HttpReply:
        status = 0
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(READ_BYTES)
                self.received_bytes += len(data)
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                self.on_data(status, len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("connection closed before the end of the response")

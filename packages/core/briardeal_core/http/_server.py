"""An HTTP server for announcements of endpoints, requests of callers, health and metrics."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING

import attrs
import h11

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

READ_BYTES = 65_536
IDLE_TIMEOUT_S = 30.0
"""Maximum time until the next request begins on an open connection."""

READ_TIMEOUT_S = 10.0
"""Maximum time from the first to the last byte of a request."""

BODY_LIMIT_BYTES = 262_144
"""Maximum size of a request body, as agreed with callers."""


@attrs.frozen
class Request:
    """A complete request.

    Parameters
    ----------
    method, path, body
        As received; the path includes the query.
    headers
        Header fields by name in lower case.
    """

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Reply:
    """A response.

    Parameters
    ----------
    status
        HTTP status code.
    body
        Content.
    content_type
        Media type of the content.
    headers
        Additional header fields.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


class HttpServer:
    """Serves all requests to one address with one function.

    Parameters
    ----------
    handle
        Function or coroutine function that returns the response to a request.

    Attributes
    ----------
    address
        Listening address, as `IP:PORT`; empty before `start`.
    active_requests
        Number of requests in progress.
    draining
        Whether each connection is closed after its next response.
    """

    def __init__(self, handle: Callable[[Request], Reply | Awaitable[Reply]]) -> None:
        self.handle = handle
        self.address = ""
        self.active_requests = 0
        self.draining = False
        self._server: asyncio.Server | None = None
        self._idle: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on an address, as `IP:PORT`."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop accepting connections and close the idle ones."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._idle):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            # The client has disconnected or the server shuts down. Cancellation is caught, too:
            # the callback of asyncio.start_server reports a cancelled task as an error.
            pass
        finally:
            self._idle.discard(writer)
            writer.close()

    async def _serve_request(
        self, connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection can serve another."""
        event = connection.next_event()
        if event is h11.NEED_DATA:
            self._idle.add(writer)
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                connection.receive_data(await reader.read(READ_BYTES))
            self._idle.discard(writer)
            event = connection.next_event()
        async with asyncio.timeout(READ_TIMEOUT_S):
            request = await _read_request(connection, reader, event)
        if request is None:
            return False
        self.active_requests += 1
        try:
            reply = self.handle(request)
            if inspect.isawaitable(reply):
                reply = await reply
        finally:
            self.active_requests -= 1
        writer.write(_encode_reply(connection, reply, close=self.draining))
        await writer.drain()
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader, event: object
) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_LIMIT_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            fields = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers
            }
            return Request(head.method.decode(), head.target.decode(), bytes(body), fields)
        else:
            return None
        event = connection.next_event()


def _encode_reply(connection: h11.Connection, reply: Reply, *, close: bool) -> bytes:
    headers = [("Content-Length", str(len(reply.body))), *reply.headers]
    if reply.body:
        headers.append(("Content-Type", reply.content_type))
    if close:
        headers.append(("Connection", "close"))
    head = connection.send(h11.Response(status_code=reply.status, headers=headers))
    data = connection.send(h11.Data(data=reply.body))
    return head + data + connection.send(h11.EndOfMessage())

"""An HTTP server for announcements, health and metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import h11

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65_536
IDLE_TIMEOUT_S = 30.0
BODY_LIMIT_BYTES = 65_536


@attrs.frozen
class Request:
    """A whole request."""

    method: str
    path: str
    body: bytes


@attrs.frozen
class Reply:
    """An answer.

    Parameters
    ----------
    status
        HTTP status.
    body
        Content.
    content_type
        Type of the content.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class HttpServer:
    """Serves one function over HTTP.

    Parameters
    ----------
    handle
        Answers a request.
    """

    def __init__(self, handle: Callable[[Request], Reply]) -> None:
        self.handle = handle
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                while (request := await _read_request(connection, reader)) is not None:
                    writer.write(_encode_reply(connection, self.handle(request)))
                    await writer.drain()
                    if connection.our_state is not h11.DONE:
                        break
                    connection.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()


async def _read_request(connection: h11.Connection, reader: asyncio.StreamReader) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_LIMIT_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(head.method.decode(), head.target.decode(), bytes(body))
        else:
            return None


def _encode_reply(connection: h11.Connection, reply: Reply) -> bytes:
    headers = [("Content-Length", str(len(reply.body))), ("Content-Type", reply.content_type)]
    head = connection.send(h11.Response(status_code=reply.status, headers=headers))
    data = connection.send(h11.Data(data=reply.body))
    return head + data + connection.send(h11.EndOfMessage())

"""One HTTP request on a connection of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

READ_BYTES = 65_536


@dataclass(frozen=True)
class HttpReply:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """No whole answer came."""

    detail: str


async def fetch(
    method: str, address: str, path: str, body: bytes = b"", *, timeout_s: float
) -> HttpReply | HttpFailure:
    """Send a request to `address` and wait for the whole answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _fetch(method, address, path, body)
    except (OSError, h11.ProtocolError) as error:
        return HttpFailure(f"{type(error).__name__}: {error}")


async def _fetch(method: str, address: str, path: str, body: bytes) -> HttpReply:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        connection = h11.Connection(h11.CLIENT)
        writer.write(_encode_request(connection, method, address, path, body))
        return await _read_reply(connection, reader)
    finally:
        writer.close()


def _encode_request(
    connection: h11.Connection, method: str, address: str, path: str, body: bytes
) -> bytes:
    headers = [("Host", address), ("Content-Length", str(len(body))), ("Connection", "close")]
    head = connection.send(h11.Request(method=method, target=path, headers=headers))
    data = connection.send(h11.Data(data=body))
    return head + data + connection.send(h11.EndOfMessage())


async def _read_reply(connection: h11.Connection, reader: asyncio.StreamReader) -> HttpReply:
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpReply(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("closed before the answer ended")

"""HTTP requests over connections that are kept open between requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

READ_BYTES = 65_536
IDLE_LIMIT_S = 10.0
"""Longest time that a connection is kept unused; servers close theirs after 15 s or more."""


@dataclass(frozen=True)
class HttpReply:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """No whole answer came.

    Parameters
    ----------
    detail
        What went wrong.
    sent
        Whether the request may have reached the server.
    refused
        Whether nobody listens there.
    """

    detail: str
    sent: bool = True
    refused: bool = False


class HttpClient:
    """Sends requests to one address and keeps its connections open.

    Parameters
    ----------
    address
        Where the server listens, as `IP:PORT`.
    idle_limit_s
        Longest time that a connection is kept unused.
    host
        Host that requests name; the address when empty.

    Attributes
    ----------
    opened
        Connections opened so far.
    """

    def __init__(self, address: str, idle_limit_s: float = IDLE_LIMIT_S, host: str = "") -> None:
        self.address = address
        self.host = host or address
        self.idle_limit_s = idle_limit_s
        self.opened = 0
        self._idle: list[_Channel] = []

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_s: float,
    ) -> HttpReply | HttpFailure:
        """Send a request and wait for the whole answer."""
        channel: _Channel | None = None
        try:
            async with asyncio.timeout(timeout_s):
                channel = self._take_idle() or await self._open()
                reply = await channel.exchange(method, self.host, path, body, headers)
        except (OSError, h11.ProtocolError) as error:
            if channel is not None:
                channel.close()
            refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            return HttpFailure(detail, sent=channel is not None, refused=refused)
        except asyncio.CancelledError:
            if channel is not None:
                channel.close()
            raise
        self._keep(channel)
        return reply

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> _Channel | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            channel = self._idle.pop()
            if now_s - channel.used_s < self.idle_limit_s and not channel.reader.at_eof():
                return channel
            channel.close()
        return None

    async def _open(self) -> _Channel:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.opened += 1
        return _Channel(reader, writer)

    def _keep(self, channel: _Channel) -> None:
        if channel.reusable:
            channel.used_s = asyncio.get_running_loop().time()
            self._idle.append(channel)
        else:
            channel.close()


async def fetch(
    method: str, address: str, path: str, body: bytes = b"", *, timeout_s: float
) -> HttpReply | HttpFailure:
    """Send one request to `address` on a connection of its own."""
    client = HttpClient(address)
    reply = await client.request(method, path, body, timeout_s=timeout_s)
    client.close()
    return reply


class _Channel:
    """One connection to a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.used_s = 0.0
        self.reusable = False

    async def exchange(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> HttpReply:
        """Send one request and read its answer."""
        fields = [("Host", host), ("Content-Length", str(len(body))), *headers]
        request = h11.Request(method=method, target=path, headers=fields)
        self.reusable = False
        data = self.protocol.send(request) + self.protocol.send(h11.Data(data=body))
        self.writer.write(data + self.protocol.send(h11.EndOfMessage()))
        reply = await self._read_reply()
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            self.reusable = True
        return reply

    def close(self) -> None:
        """End the connection."""
        self.writer.close()

    async def _read_reply(self) -> HttpReply:
        status = 0
        body = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return HttpReply(status, bytes(body))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the answer ended")

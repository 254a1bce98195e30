"""Messages over a pipe of byte strings, with large ones sent in parts."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Protocol

from briardeal_protocol.connections import Closed
from briardeal_protocol.peers._codec import decode, encode
from briardeal_protocol.peers._connection import Broken
from briardeal_protocol.peers._messages import Fragment

if TYPE_CHECKING:
    from briardeal_protocol.peers._codec import PeerMessage

FRAGMENT_BYTES = 32 * 1024
MESSAGE_LIMIT_BYTES = 17 * 1024 * 1024
FRAME_OVERHEAD_BYTES = 40
"""An HTTP/2 frame header, a gRPC message prefix and the two window updates that follow."""


class Pipe(Protocol):
    """A two-way stream of byte strings."""

    async def write(self, frame: bytes) -> bool:
        """Write one byte string; return whether the pipe still holds."""

    async def read(self) -> bytes | None:
        """Wait for the next byte string; `None` at the end."""

    async def close(self) -> None:
        """End the pipe."""


class FramedConnection:
    """Messages over a pipe.

    Messages larger than a fragment share the pipe with others part by part, so that heartbeats
    pass while a large answer travels.

    Parameters
    ----------
    pipe
        The pipe.
    """

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._writing = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._parts: dict[int, list[bytes]] = {}

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message; after `Closed` it is certain that nothing was sent."""
        if self.closed:
            return Closed("closed")
        data = encode(message)
        if len(data) > MESSAGE_LIMIT_BYTES:
            return Closed("the message is too large")
        # A caller that gives up leaves no part of a message behind at the other end.
        sending = asyncio.create_task(self._send_frames(self._split(data)))
        return await asyncio.shield(sending)

    async def receive(self) -> PeerMessage | Closed:
        """Wait for the next message that this version knows."""
        while not self.closed:
            frame = await self.pipe.read()
            if frame is None:
                break
            self.bytes_received += len(frame) + FRAME_OVERHEAD_BYTES
            message = decode(frame)
            if isinstance(message, Fragment):
                message = self._join(message)
            if message is not None:
                return message
        self.closed = True
        return Closed("closed")

    async def close(self) -> None:
        """End the connection."""
        self.closed = True
        await self.pipe.close()

    def _split(self, data: bytes) -> list[bytes]:
        if len(data) <= FRAGMENT_BYTES:
            return [data]
        number = next(self._numbers)
        starts = range(0, len(data), FRAGMENT_BYTES)
        parts = [data[start : start + FRAGMENT_BYTES] for start in starts]
        last = len(parts) - 1
        return [
            encode(Fragment(number, index, index == last, part)) for index, part in enumerate(parts)
        ]

    async def _send_frames(self, frames: list[bytes]) -> Broken | None:
        for frame in frames:
            if not await self._write(frame):
                return Broken("the connection broke")
        return None

    async def _write(self, frame: bytes) -> bool:
        async with self._writing:
            if self.closed or not await self.pipe.write(frame):
                return False
        self.bytes_sent += len(frame) + FRAME_OVERHEAD_BYTES
        return True

    def _join(self, fragment: Fragment) -> PeerMessage | None:
        if fragment.index == 0:
            self._parts[fragment.number] = []
        parts = self._parts.get(fragment.number)
        if parts is None or len(parts) != fragment.index:
            return None
        parts.append(fragment.data)
        if len(parts) * FRAGMENT_BYTES > MESSAGE_LIMIT_BYTES + FRAGMENT_BYTES:
            del self._parts[fragment.number]
            return None
        if not fragment.last:
            return None
        del self._parts[fragment.number]
        return decode(b"".join(parts))

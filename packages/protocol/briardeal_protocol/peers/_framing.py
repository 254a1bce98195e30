"""Messages over a stream of frames, with large messages split into fragments."""

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
    """A bidirectional stream of frames, which are byte strings."""

    async def write(self, frame: bytes) -> bool:
        """Write one frame; return `False` if the pipe is closed or has failed."""

    async def read(self) -> bytes | None:
        """Wait for the next frame; return `None` after the last one."""

    async def close(self) -> None:
        """Close the pipe."""


class FramedConnection:
    """Sends and receives messages over a pipe.

    A message larger than `FRAGMENT_BYTES` is sent as several fragments, and other messages may be
    sent between them, so that a large reply does not delay heartbeats.

    Parameters
    ----------
    pipe
        Pipe that carries the frames.

    Attributes
    ----------
    closed
        Whether the connection is closed.
    bytes_sent, bytes_received
        Bytes so far, including `FRAME_OVERHEAD_BYTES` for each frame.
    """

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._write_lock = asyncio.Lock()
        self._message_numbers = itertools.count(1)
        self._fragments: dict[int, list[bytes]] = {}

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message; after `Closed` it is certain that nothing was sent."""
        if self.closed:
            return Closed("closed")
        data = encode(message)
        if len(data) > MESSAGE_LIMIT_BYTES:
            return Closed("the message exceeds the size limit")
        # Shielded, so that a cancelled caller does not leave an incomplete message at the
        # receiver.
        sending = asyncio.create_task(self._send_frames(self._split(data)))
        return await asyncio.shield(sending)

    async def receive(self) -> PeerMessage | Closed:
        """Wait for the next message; frames that can't be decoded are skipped."""
        while not self.closed:
            frame = await self.pipe.read()
            if frame is None:
                break
            self.bytes_received += len(frame) + FRAME_OVERHEAD_BYTES
            message = decode(frame)
            if isinstance(message, Fragment):
                message = self._reassemble(message)
            if message is not None:
                return message
        self.closed = True
        return Closed("closed")

    async def close(self) -> None:
        """Close the connection."""
        self.closed = True
        await self.pipe.close()

    def _split(self, data: bytes) -> list[bytes]:
        if len(data) <= FRAGMENT_BYTES:
            return [data]
        number = next(self._message_numbers)
        starts = range(0, len(data), FRAGMENT_BYTES)
        parts = [data[start : start + FRAGMENT_BYTES] for start in starts]
        last = len(parts) - 1
        return [
            encode(Fragment(number, index, index == last, part)) for index, part in enumerate(parts)
        ]

    async def _send_frames(self, frames: list[bytes]) -> Broken | None:
        for frame in frames:
            if not await self._write(frame):
                return Broken("the connection failed during a send")
        return None

    async def _write(self, frame: bytes) -> bool:
        async with self._write_lock:
            if self.closed or not await self.pipe.write(frame):
                return False
        self.bytes_sent += len(frame) + FRAME_OVERHEAD_BYTES
        return True

    def _reassemble(self, fragment: Fragment) -> PeerMessage | None:
        if fragment.index == 0:
            self._fragments[fragment.number] = []
        parts = self._fragments.get(fragment.number)
        if parts is None or len(parts) != fragment.index:
            return None
        parts.append(fragment.data)
        if len(parts) * FRAGMENT_BYTES > MESSAGE_LIMIT_BYTES + FRAGMENT_BYTES:
            del self._fragments[fragment.number]
            return None
        if not fragment.last:
            return None
        del self._fragments[fragment.number]
        return decode(b"".join(parts))

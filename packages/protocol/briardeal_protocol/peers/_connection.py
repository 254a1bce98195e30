"""What a connection between entries and a network of them offer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections import Closed
    from briardeal_protocol.peers._codec import PeerMessage


@dataclass(frozen=True)
class Broken:
    """The connection broke while a message was sent; the message may have arrived."""

    detail: str = ""


class PeerConnection(Protocol):
    """A two-way stream of messages between two entries.

    Attributes
    ----------
    bytes_sent, bytes_received
        Bytes so far, with the framing of HTTP/2 and gRPC.
    """

    bytes_sent: int
    bytes_received: int

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message; after `Closed` it is certain that nothing was sent."""

    async def receive(self) -> PeerMessage | Closed:
        """Wait for the next message."""

    async def close(self) -> None:
        """End the connection."""


class PeerListener(Protocol):
    """An address that takes connections of entries."""

    address: str

    async def close(self) -> None:
        """Take no more connections."""


class PeerNetwork(Protocol):
    """Opens connections between entries and takes them."""

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address."""

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> PeerListener:
        """Run `serve` in a task of its own for each connection to an address."""

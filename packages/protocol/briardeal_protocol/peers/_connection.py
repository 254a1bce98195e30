"""Interfaces of a connection, a listener and a network between entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.connections import Closed
    from briardeal_protocol.peers._codec import PeerMessage


@dataclass(frozen=True)
class Broken:
    """The connection failed while a message was sent; the message may have arrived.

    Parameters
    ----------
    detail
        Cause, for the log.
    """

    detail: str = ""


class PeerConnection(Protocol):
    """A bidirectional stream of messages between two entries.

    Attributes
    ----------
    bytes_sent, bytes_received
        Bytes so far, including an estimate of the overhead of HTTP/2 and gRPC.
    """

    bytes_sent: int
    bytes_received: int

    async def send(self, message: PeerMessage) -> Closed | Broken | None:
        """Send one message; after `Closed` it is certain that nothing was sent."""

    async def receive(self) -> PeerMessage | Closed:
        """Wait for the next message; return `Closed` after the last one."""

    async def close(self) -> None:
        """Close the connection."""


class PeerListener(Protocol):
    """A listening address for other entries.

    Attributes
    ----------
    address
        Address that other entries connect to.
    """

    address: str

    async def close(self) -> None:
        """Stop accepting connections."""


class PeerNetwork(Protocol):
    """Opens and accepts connections between entries."""

    async def connect(self, address: str) -> PeerConnection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""

    async def listen(
        self, address: str, serve: Callable[[PeerConnection], Awaitable[None]]
    ) -> PeerListener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""

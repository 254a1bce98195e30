"""Interfaces of a connection, a listener and a network."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.messages import Message


MAX_UNSENT_BYTES = 1_048_576
"""Size of posted messages that may wait for a peer to read; more than all orders that fit a VM."""

READS_TOO_SLOWLY = "the peer reads too slowly"
"""Detail of a connection that is closed because too much waits to be sent."""


@dataclass(frozen=True)
class Closed:
    """The connection is closed or could not be opened.

    Parameters
    ----------
    detail
        Cause, for the log.
    """

    detail: str = ""


class Connection(Protocol):
    """A bidirectional stream of messages.

    Attributes
    ----------
    bytes_sent, bytes_received
        Size of all encoded messages so far, in bytes.
    """

    bytes_sent: int
    bytes_received: int

    async def send(self, message: Message) -> Closed | None:
        """Send one message; return `Closed` on failure."""

    def post(self, message: Message) -> Closed | None:
        """Send one message without waiting; return `Closed` on failure.

        Closes the connection if over `MAX_UNSENT_BYTES` wait to be sent.
        """

    async def receive(self) -> Message | Closed:
        """Wait for the next message; return `Closed` after the last one."""

    async def close(self) -> None:
        """Close the connection."""


class Listener(Protocol):
    """A listening address.

    Attributes
    ----------
    address
        Address that clients connect to.
    """

    address: str

    async def close(self) -> None:
        """Stop accepting connections."""


class Network(Protocol):
    """Opens and accepts connections."""

    async def connect(self, address: str) -> Connection | Closed:
        """Open a connection to an address; return `Closed` if that fails."""

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> Listener:
        """Listen on an address and run `serve` in its own task for each accepted connection."""

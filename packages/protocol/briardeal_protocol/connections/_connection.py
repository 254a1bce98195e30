"""Interfaces of a connection, a listener and a network."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.messages import Message


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

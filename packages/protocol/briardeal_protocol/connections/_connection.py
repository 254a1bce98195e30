"""What a connection and a network offer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_protocol.messages import Message


@dataclass(frozen=True)
class Closed:
    """The connection has ended or could not be opened."""

    detail: str = ""


class Connection(Protocol):
    """A two-way stream of messages."""

    bytes_sent: int
    bytes_received: int

    async def send(self, message: Message) -> Closed | None:
        """Send one message."""

    async def receive(self) -> Message | Closed:
        """Wait for the next message."""

    async def close(self) -> None:
        """End the connection."""


class Listener(Protocol):
    """An address that takes connections."""

    address: str

    async def close(self) -> None:
        """Take no more connections."""


class Network(Protocol):
    """Opens connections and takes them."""

    async def connect(self, address: str) -> Connection | Closed:
        """Open a connection to an address."""

    async def listen(
        self, address: str, serve: Callable[[Connection], Awaitable[None]]
    ) -> Listener:
        """Run `serve` in a task of its own for each connection to an address."""

"""Bounds of accepted connections whose peer has not said who it is."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_protocol.connections._tcp import TcpConnection, TcpNetwork

FIRST_LINE_BYTES = 16_384
"""Maximum size of the first message, which names the peer; hellos take below 200 bytes."""

FIRST_MESSAGE_S = 5.0
"""Maximum time from the accepted connection to the end of the first message, in seconds."""

MAX_UNKNOWN_PEERS = 152
"""Default number of accepted connections without a first message; that of 200 MB of memory.

All agents and entries of a deployment, up to 85, may connect to a new owner at once."""

ACCEPTS_IN_TURN = 16
"""Connections accepted before the event loop serves others; the bound may be exceeded by them."""

BACKLOG = 128
"""Connections that wait in the kernel; all agents may connect to a new owner at once."""

UNKNOWN_BUFFER_BYTES = 16_384
KNOWN_BUFFER_BYTES = 212_992
"""Receive buffers as requested; the kernel doubles them. The larger one is the default of Linux."""

NO_ROOM = "unknown_peers"
"""Reason of connections that are closed as later ones need their place."""


class PeerReader(asyncio.StreamReader):
    """A reader whose limit can be raised once the peer is known."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit, asyncio.get_running_loop())

    def set_limit(self, limit: int) -> None:
        """Set the maximum size of a line; the reader holds up to twice as much."""
        self._limit = limit


class UnknownPeers:
    """Keeps the number of accepted connections without a first message under a bound.

    Answers crowds that open control connections and send nothing, or too little or too much. The
    connection that has waited longest is closed for a new one, as peers of the product send their
    first message at once.

    Parameters
    ----------
    network
        Network with the bound, which may change, and the observer of closed connections.
    """

    def __init__(self, network: TcpNetwork) -> None:
        self.network = network
        self._connections: dict[TcpConnection, None] = {}

    def add(self, connection: TcpConnection) -> None:
        """Add an accepted connection, and close others for it."""
        while len(self._connections) >= self.network.max_unknown_peers:
            oldest = next(iter(self._connections))
            self.remove(oldest)
            self.count(NO_ROOM)
            oldest.abort()
        self._connections[connection] = None

    def remove(self, connection: TcpConnection) -> None:
        """Remove a connection that is known or closed."""
        self._connections.pop(connection, None)

    def count(self, reason: str) -> None:
        """Count a connection that is closed."""
        self.network.on_closed(reason)


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, with a bound on what the kernel holds for each peer.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNKNOWN_BUFFER_BYTES)
        listening.bind((host, port))
    except OSError:
        listening.close()
        raise
    return listening


def raise_receive_buffer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel hold larger messages of a peer that is known."""
    accepted = transport.get_extra_info("socket")
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KNOWN_BUFFER_BYTES)

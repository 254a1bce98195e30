"""Budgets of connections and of bytes, and what is closed for them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MEGABYTE = 1_000_000

RECEIVE_BUFFER_BYTES = 16_384
"""Receive buffer of a socket as requested; the kernel doubles it for its own bookkeeping.

A body of the largest size then takes 16 round trips, and a paused read holds 32 KB."""

UNSENT_BYTES = 16_384
"""Bytes that the kernel takes beyond those that it sends at once.

A send buffer of this size instead would hold back the rest of an answer until the client's delayed
acknowledgement: an answer of 100 KB took 44 ms on loopback."""

OBJECTS_BYTES = 8_192
"""Size of the objects of a connection; with 555 idle ones a process grew by 4 KB for each."""

CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES + 2 * UNSENT_BYTES + OBJECTS_BYTES
"""Memory that one connection may take besides the request that is read on it."""

CONNECTIONS_SHARE = 0.2
"""Part of the memory of a process for connections of clients."""

READS_SHARE = 0.1
"""Part of the memory of a process for requests being read."""

PEERS_SHARE = 0.05
"""Part of the memory of a process for control connections whose peer is not known."""

PEER_BYTES = 65_536
"""Memory that such a connection may take: twice its line limit of 16 KB, and its socket buffer."""

PLATFORM_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files."""

MIN_DESCRIPTORS = 64
"""Descriptors that are divided in any case, also where the settings leave fewer."""

SETTLED_S = 1.0
"""Age at which a read or an idle connection is closed before all younger ones, in seconds.

An ordinary request arrives within it, so that a crowd is closed before ordinary clients are."""

CLOSING_SHARE = 8
"""One of this many connections may be above the budget while it waits for its last answer."""

HELD_BYTES = 4_096
"""Size from which closing a read frees memory that counts."""


class Phase(enum.IntEnum):
    """What a connection does."""

    REFUSED = 0
    """Its request was refused; it stays open for a moment so that the client reads the answer."""
    IDLE = 1
    READING = 2
    SERVING = 3
    WRITING = 4
    """Its client has not read an answer that was written to it."""
    CLOSING = 5
    """It is closed after the answer under way."""


SETTLED_RANKS = {Phase.WRITING: 1, Phase.IDLE: 2, Phase.READING: 3}
YOUNG_RANKS = {Phase.IDLE: 4, Phase.READING: 5, Phase.WRITING: 6}
"""Order in which connections are closed by what they do, above and below the age of `SETTLED_S`."""


class ListenerBudget(msgspec.Struct, frozen=True):
    """Budget of one listener.

    Parameters
    ----------
    connections
        Maximum number of open connections.
    held_bytes
        Maximum size of the requests being read or served.
    """

    connections: int
    held_bytes: int


class ProcessBudgets(msgspec.Struct, frozen=True):
    """Budgets of the listeners of one process.

    Each has its own, so that a crowd on one doesn't close connections of another.

    Parameters
    ----------
    callers, readiness, heartbeats, metrics
        Budgets of the listeners for callers, readiness checks, heartbeats of a worker, and metrics.
    unknown_peers
        Maximum number of accepted control connections whose peer has not said who it is.
    """

    callers: ListenerBudget
    readiness: ListenerBudget
    heartbeats: ListenerBudget
    metrics: ListenerBudget
    unknown_peers: int


def divide_budgets(memory_mb: float, max_descriptors: int) -> ProcessBudgets:
    """Divide the memory and the descriptors of a process among its listeners.

    An entry has the first two and an agent the third; the control connections to peers that are
    known, and the connections that the process opens itself, share the descriptors that are left.
    """
    free = max(MIN_DESCRIPTORS, max_descriptors - PLATFORM_DESCRIPTORS)
    memory_bytes = memory_mb * MEGABYTE
    affordable = int(memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    held_bytes = int(memory_bytes * READS_SHARE)
    return ProcessBudgets(
        callers=ListenerBudget(max(8, min(free // 2, affordable)), held_bytes),
        readiness=ListenerBudget(min(32, max(4, free // 16)), 0),
        heartbeats=ListenerBudget(min(64, max(8, free // 8)), held_bytes // 4),
        metrics=ListenerBudget(min(16, max(4, free // 32)), 0),
        unknown_peers=max(8, min(256, free // 8, int(memory_bytes * PEERS_SHARE / PEER_BYTES))),
    )


class Holding(msgspec.Struct, eq=False):
    """What one connection holds of the budget.

    Parameters
    ----------
    connection
        The connection.
    since_s
        Time at which its phase began, in seconds.
    phase
        What it does.
    held_bytes
        Size of the requests being read or served on it.
    sends_ahead
        Whether its client has sent more than the request being served.
    """

    connection: Any
    since_s: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    sends_ahead: bool = False


class Budget:
    """Decides which connections of a listener are closed for others.

    Answers crowds of clients that together hold more memory or descriptors than the process has,
    most of them by stopping just short of the end of a request, or by not reading their answers.
    Connections that were refused go first, then those whose client has not read its answer for a
    while, those that have been idle for a while, and reads that have lasted for a while, the
    slowest first; then the younger ones, unread answers last. A request being served stays; if all
    are, clients that send ahead get no further answer after that one.

    Parameters
    ----------
    size
        The budget.
    floor_bytes
        Size of the largest legal request; one is read to its end whatever other connections hold.

    Attributes
    ----------
    holdings
        What each open connection holds.
    held_bytes
        Size of all requests being read or served.
    """

    def __init__(self, size: ListenerBudget, floor_bytes: int) -> None:
        self.size = size
        self.floor_bytes = floor_bytes
        self.holdings: set[Holding] = set()
        self.held_bytes = 0

    @property
    def reads(self) -> int:
        """Number of requests being read."""
        return sum(holding.phase is Phase.READING for holding in self.holdings)

    @property
    def read_bytes(self) -> int:
        """Size of the requests being read."""
        return sum(each.held_bytes for each in self.holdings if each.phase is Phase.READING)

    def open(self, connection: Any, now_s: float) -> Holding:
        """Add an accepted connection."""
        holding = Holding(connection, now_s)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection; a repeated call has no effect."""
        self.hold(holding, 0)
        self.holdings.discard(holding)

    def hold(self, holding: Holding, held_bytes: int) -> None:
        """Record the size of the requests on a connection."""
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes

    def find_excess_connection(self, now_s: float) -> Holding | None:
        """Return the connection to close before another one is accepted, if any can be closed."""
        return self._find_first(self.holdings, now_s)

    def find_pipelining(self) -> Holding | None:
        """Return a served connection to close after its answer, as its client sends ahead.

        Another one may take its place at once. Few may close like this at a time, as the answer may
        take long.
        """
        if self._closing >= max(1, self.size.connections // CLOSING_SHARE):
            return None
        served = (each for each in self.holdings if each.phase is Phase.SERVING)
        ahead = (each for each in served if each.sends_ahead)
        return min(ahead, key=lambda each: each.since_s, default=None)

    @property
    def is_full(self) -> bool:
        """Whether a connection has to be closed before another one is accepted."""
        if len(self.holdings) < self.size.connections:
            return False
        return len(self.holdings) - self._closing >= self.size.connections

    @property
    def _closing(self) -> int:
        return sum(each.phase is Phase.CLOSING for each in self.holdings)

    def find_excess_read(self, reader: Holding, now_s: float) -> Holding | None:
        """Return the read to close so that the requests held fit, or `None` if they fit.

        It is `reader`, which has just grown, if no other can be closed and the requests held exceed
        the budget by more than the floor.
        """
        allowed = max(self.size.held_bytes, self.floor_bytes)
        if self.held_bytes <= allowed:
            return None
        others = [
            holding
            for holding in self.holdings
            if holding.phase is Phase.READING and holding is not reader
        ]
        large = [holding for holding in others if holding.held_bytes >= HELD_BYTES]
        found = self._find_first(large or others, now_s)
        if found is not None:
            return found
        # Only `reader` is being read. The others are served, and end by their own deadlines.
        return reader if self.held_bytes > allowed + self.floor_bytes else None

    def _find_first(self, holdings: Iterable[Holding], now_s: float) -> Holding | None:
        closable = (each for each in holdings if each.phase not in (Phase.SERVING, Phase.CLOSING))
        return min(closable, key=lambda each: _rank(each, now_s), default=None)


def _rank(holding: Holding, now_s: float) -> tuple[int, float]:
    """Return the place of a connection among those to be closed, the lowest first."""
    age_s = now_s - holding.since_s
    if holding.phase is Phase.REFUSED:
        return (0, -age_s)
    if age_s < SETTLED_S:
        return (YOUNG_RANKS[holding.phase], -age_s)
    if holding.phase is Phase.READING:
        return (SETTLED_RANKS[holding.phase], holding.held_bytes / age_s)
    return (SETTLED_RANKS[holding.phase], -age_s)

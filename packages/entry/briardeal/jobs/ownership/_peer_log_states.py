"""How far the other entries of the region have read the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class PeerLogState(Protocol):
    """What a peer has read of the log, as of its last heartbeat.

    Attributes
    ----------
    entry_id, region
        Identifier and region of the peer.
    heartbeat_age_s
        Seconds since the last heartbeat of the peer.
    read_age_s
        Seconds since the peer last read the owner stream; `None` if it never did.
    highest_token
        Highest fencing token of its region that the peer has read.
    """

    entry_id: str
    region: str
    heartbeat_age_s: float
    read_age_s: float | None
    highest_token: int


class PeerLogStates(Protocol):
    """Source of the log states of the other entries."""

    def log_states(self) -> Sequence[PeerLogState]:
        """Return the log state of each connected entry."""


class NoPeers:
    """Peers of an entry that runs alone."""

    def log_states(self) -> Sequence[PeerLogState]:
        """Return no states."""
        return ()

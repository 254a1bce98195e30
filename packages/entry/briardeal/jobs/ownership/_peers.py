"""What the other entries of the region say of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class PeerLogState(Protocol):
    """What a peer has read of the log, as its last heartbeat told.

    Attributes
    ----------
    entry_id, region
        The peer.
    heartbeat_age_s
        Seconds since its last heartbeat.
    read_age_s
        Seconds since it last read the owner stream; `None` for never.
    highest_token
        Highest fencing token of its region that it has read.
    """

    entry_id: str
    region: str
    heartbeat_age_s: float
    read_age_s: float | None
    highest_token: int


class PeerLogStates(Protocol):
    """Tells of the other entries."""

    def log_states(self) -> Sequence[PeerLogState]:
        """Return the state of each entry that is linked."""


class NoPeers:
    """An entry that is alone."""

    def log_states(self) -> Sequence[PeerLogState]:
        """Return nothing."""
        return ()

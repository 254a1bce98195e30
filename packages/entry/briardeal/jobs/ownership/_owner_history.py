"""The newest owners of a region, rebuilt from its owner stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.jobs.ownership._records import OwnerClaimed, OwnerReleased, OwnerRenewed

if TYPE_CHECKING:
    from briardeal_core.log import StreamRecord


@attrs.define
class OwnerClaim:
    """A claim of one owner, with the renewals that followed it.

    Parameters
    ----------
    token
        Fencing token.
    entry_id
        Entry that claimed the region.
    append_id
        Identifier of the append that claimed the region.
    claimed_s
        When the claim was read, on the clock of the event loop.
    renewed_s
        When the claim or its newest renewal was read, on the clock of the event loop.
    renewal_is_live
        Whether that record was read when it was written, rather than while catching up.
    renewed
        Whether a renewal was read.
    peers, workers
        Values of the newest renewal.
    released
        Whether the owner released the region.
    """

    token: int
    entry_id: str
    append_id: str
    claimed_s: float
    renewed_s: float
    renewal_is_live: bool
    renewed: bool = False
    peers: frozenset[str] = frozenset()
    workers: int = 0
    released: bool = False


class OwnerHistory:
    """The newest owner of a region, and the predecessor that may still be starting jobs.

    Attributes
    ----------
    current
        The newest claim.
    predecessor
        The last earlier claim whose owner may still start jobs. A claim that was never renewed
        never allowed its owner to start any, and one that was released does not any more.
    """

    def __init__(self) -> None:
        self.current: OwnerClaim | None = None
        self.predecessor: OwnerClaim | None = None

    @property
    def token(self) -> int:
        """Highest fencing token read; 0 before the first."""
        return self.current.token if self.current is not None else 0

    def apply(self, item: StreamRecord, now_s: float, caught_up: bool) -> None:
        """Apply the next record of the owner stream.

        Parameters
        ----------
        item
            The record.
        now_s
            Current time, on the clock of the event loop.
        caught_up
            Whether the reader had already caught up with the end of the stream.
        """
        record = item.record
        if isinstance(record, OwnerClaimed):
            self._retire_current()
            token = item.offset + 1
            self.current = OwnerClaim(
                token, record.entry_id, item.append_id, now_s, now_s, caught_up
            )
        elif self.current is None or record.token != self.current.token:
            return
        elif isinstance(record, OwnerReleased):
            self.current.released = True
        elif isinstance(record, OwnerRenewed):
            self.current.renewed = True
            self.current.renewed_s = now_s
            self.current.renewal_is_live = caught_up
            self.current.peers = frozenset(record.peers)
            self.current.workers = record.workers

    def _retire_current(self) -> None:
        retired = self.current
        if retired is not None and retired.released:
            self.predecessor = None
        elif retired is not None and retired.renewed:
            self.predecessor = retired

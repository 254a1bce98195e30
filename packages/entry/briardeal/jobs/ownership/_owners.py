"""The owners of a region, folded from its owner stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.jobs.ownership._records import OwnerClaimed, OwnerReleased, OwnerRenewed

if TYPE_CHECKING:
    from briardeal_core.log import StreamRecord


@attrs.define
class OwnerClaim:
    """The time of one owner.

    Parameters
    ----------
    token
        Fencing token.
    entry_id
        The owner.
    append_id
        Identifier of the append that claimed the region.
    claimed_s
        When the claim was read, on the loop's clock.
    heard_s
        When the claim or the newest renewal was read, on the loop's clock.
    heard_live
        Whether it was read as it came, and not while catching up.
    renewed
        Whether a renewal was read.
    peers, workers
        What the newest renewal said.
    released
        Whether the owner gave the region up.
    """

    token: int
    entry_id: str
    append_id: str
    claimed_s: float
    heard_s: float
    heard_live: bool
    renewed: bool = False
    peers: frozenset[str] = frozenset()
    workers: int = 0
    released: bool = False


class Owners:
    """The newest owner of a region, and what its predecessors leave to wait for.

    Attributes
    ----------
    current
        The newest claim.
    predecessor
        The last claim before it that may still be at work; one that never renewed has never been,
        and one that released is not any more.
    """

    def __init__(self) -> None:
        self.current: OwnerClaim | None = None
        self.predecessor: OwnerClaim | None = None

    @property
    def token(self) -> int:
        """Highest fencing token read; 0 before the first."""
        return self.current.token if self.current is not None else 0

    def apply(self, item: StreamRecord, now_s: float, live: bool) -> None:
        """Take the next record of the stream.

        Parameters
        ----------
        item
            The record.
        now_s
            The time now, on the loop's clock.
        live
            Whether the reader had reached the end of the stream before.
        """
        record = item.record
        if isinstance(record, OwnerClaimed):
            self._end_reign()
            token = item.offset + 1
            self.current = OwnerClaim(token, record.entry_id, item.append_id, now_s, now_s, live)
        elif self.current is None or record.token != self.current.token:
            return
        elif isinstance(record, OwnerReleased):
            self.current.released = True
        elif isinstance(record, OwnerRenewed):
            self.current.renewed = True
            self.current.heard_s = now_s
            self.current.heard_live = live
            self.current.peers = frozenset(record.peers)
            self.current.workers = record.workers

    def _end_reign(self) -> None:
        ended = self.current
        if ended is not None and ended.released:
            self.predecessor = None
        elif ended is not None and ended.renewed:
            self.predecessor = ended

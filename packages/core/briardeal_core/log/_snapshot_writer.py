"""Service that writes snapshots before the log removes the records that they replace."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

from mode import Service

from briardeal_core.clock import WallClock
from briardeal_core.log._claims import RoleAcquired
from briardeal_core.log._model import LogUnavailable

if TYPE_CHECKING:
    import random

    from briardeal_core.clock import Clock
    from briardeal_core.log._claims import RoleClaim
    from briardeal_core.log._follower import StreamFollower
    from briardeal_core.log._snapshots import StoredSnapshot

SNAPSHOT_INTERVAL_S = 6 * 3600.0
"""Must be a fraction of the retention of the log, so that it always holds several snapshots."""

SNAPSHOT_LIMIT_RECORDS = 5000
CHECKS_PER_INTERVAL = 20
MAX_CHECK_INTERVAL_S = 300.0


class SnapshotWriter(Service):
    """Writes a snapshot of a view when the newest snapshot is too old or too far behind.

    Each process runs one; a claim on the log decides which of them writes.

    Parameters
    ----------
    follower
        Follower of the view.
    claim
        Claim on the role of snapshot writer.
    rng
        Random source of jitter.
    interval_s
        Maximum age of the newest snapshot, in seconds; a quarter of the retention.
    limit_records
        Maximum number of entries after the newest snapshot, which a starting process has to read.
    clock
        Wall clock, which must be close to that of the log.

    Attributes
    ----------
    written
        Number of snapshots written by this process.
    """

    def __init__(
        self,
        follower: StreamFollower,
        claim: RoleClaim,
        rng: random.Random,
        interval_s: float = SNAPSHOT_INTERVAL_S,
        limit_records: int = SNAPSHOT_LIMIT_RECORDS,
        clock: Clock | None = None,
    ) -> None:
        super().__init__()
        self.follower = follower
        self.claim = claim
        self.rng = rng
        self.interval_s = interval_s
        self.limit_records = limit_records
        self.clock = WallClock() if clock is None else clock
        self.written = 0
        self._newest: StoredSnapshot | None = None

    @Service.task
    async def _write_periodically(self) -> None:
        check_s = min(MAX_CHECK_INTERVAL_S, self.interval_s / CHECKS_PER_INTERVAL)
        while not self.should_stop:
            await asyncio.sleep(check_s * self.rng.uniform(0.5, 1.5))
            await self.write_if_due()

    async def write_if_due(self) -> None:
        """Write a snapshot if one is due and this process acquires the role."""
        if not self._is_due() or not await self._find_newest() or not self._is_due():
            return
        held = await self.claim.acquire()
        if not isinstance(held, RoleAcquired):
            return
        if await self._find_newest() and self._is_due():
            snapshot = self.follower.take_snapshot()
            failed = await self.follower.snapshots.write(snapshot, held.token)
            self.written += failed is None
        await self.claim.release()

    def _is_due(self) -> bool:
        if not self.follower.complete or not self.follower.offset:
            return False
        if self._newest is None:
            return True
        behind = self.follower.offset - self._newest.snapshot.next_offset
        age_s = self.clock.now_s() - self._newest.appended_at_s
        return behind >= self.limit_records or age_s >= self.interval_s

    async def _find_newest(self) -> bool:
        """Find the newest snapshot and return whether the log answered."""
        async with aclosing(self.follower.snapshots.find()) as candidates:
            async for found in candidates:
                if isinstance(found, LogUnavailable):
                    return False
                self._newest = found
                return True
        self._newest = None
        return True

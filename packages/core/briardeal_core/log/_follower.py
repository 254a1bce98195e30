"""A view kept up to date with one stream."""

from __future__ import annotations

import asyncio
import enum
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol

from mode import Service

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log._copies import CopyFilter
from briardeal_core.log._model import LogUnavailable, PastRetention
from briardeal_core.log._snapshots import Snapshot

if TYPE_CHECKING:
    import random

    from briardeal_core.log._reader import StreamReader, StreamRecord
    from briardeal_core.log._snapshots import SnapshotStream, StoredSnapshot

FOLLOW_WAIT_S = 5.0
RETRY_BASE_S = 0.1
RETRY_CAP_S = 1.0


class View(Protocol):
    """State folded from the records of one stream.

    What it holds depends only on the records and their order, so that all processes agree.
    """

    def apply(self, item: StreamRecord) -> None:
        """Take the next record into account."""

    def dump(self) -> bytes:
        """Return the state for a snapshot."""

    def restore(self, state: bytes) -> bool:
        """Replace the state by that of a snapshot; return whether it could be read."""


class FollowerState(enum.StrEnum):
    """How far a follower has come."""

    REBUILDING = "rebuilding"
    """Looks for a snapshot to start from."""
    READING = "reading"
    """Has not yet reached the end of the stream."""
    CURRENT = "current"
    """Has reached the end of the stream and reads on."""
    GAP = "gap"
    """Records are gone that no snapshot on the log covers; looks again until one does."""


class StreamFollower(Service):
    """Rebuilds a view from the newest snapshot and keeps it current.

    Parameters
    ----------
    reader
        Reader of the stream; used by nobody else.
    snapshots
        Snapshots of the stream.
    view
        The view.
    rng
        Source of jitter.

    Attributes
    ----------
    progress
        How far it has come.
    gaps
        How often records were gone before they were read.
    """

    def __init__(
        self, reader: StreamReader, snapshots: SnapshotStream, view: View, rng: random.Random
    ) -> None:
        super().__init__()
        self.reader = reader
        self.snapshots = snapshots
        self.view = view
        self.rng = rng
        self.progress = FollowerState.REBUILDING
        self.gaps = 0
        self.available = True
        self._current = asyncio.Event()
        self._current_at_s: float | None = None
        self._oldest_offset = 0
        self._resume_offset: int | None = None
        self._newest_schema = 0
        self._unknown_before = 0

    @property
    def offset(self) -> int:
        """Offset of the first record that is not in the view."""
        return self.reader.offset

    @property
    def is_consistent(self) -> bool:
        """Whether the view holds everything below its offset."""
        return self.progress in (FollowerState.READING, FollowerState.CURRENT)

    @property
    def complete(self) -> bool:
        """Whether this process understood everything that is in the view.

        Only such a view may be written as a snapshot: an older program leaves out what it does not
        know, and its snapshot would take that away from newer ones.
        """
        understood = self.reader.counts.unknown == self._unknown_before
        return (
            self.is_consistent and understood and self.reader.schema.version >= self._newest_schema
        )

    def age_s(self) -> float | None:
        """Return the seconds since the end of the stream was last seen; `None` before that."""
        if self._current_at_s is None:
            return None
        return loop_time() - self._current_at_s

    async def wait_current(self) -> None:
        """Wait until the end of the stream has been reached once."""
        await self._current.wait()

    def can_resume(self, offset: int) -> bool:
        """Return whether reading on from an offset would close the gap."""
        return self.progress is FollowerState.GAP and offset >= self._oldest_offset

    def resume(self, offset: int) -> None:
        """Read on from an offset, after the owner mended the view up to there by other means."""
        self._resume_offset = offset

    def take_snapshot(self) -> Snapshot:
        """Return the state of this moment."""
        return Snapshot(
            self.offset,
            self.reader.schema.version,
            self.reader.copies.dump(),
            self.view.dump(),
            self._last_appended_at_s,
        )

    _last_appended_at_s = 0.0

    @Service.task
    async def _follow(self) -> None:
        failures = 0
        while not self.should_stop:
            self._apply_resume()
            succeeded = await (self._read() if self.is_consistent else self._rebuild())
            self._note_availability(succeeded)
            failures = 0 if succeeded else failures + 1
            if failures or self.progress is FollowerState.GAP:
                pause_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(failures, 10))
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def _read(self) -> bool:
        wait_s = FOLLOW_WAIT_S if self.progress is FollowerState.CURRENT else 0.0
        found = await self.reader.read(wait_s)
        if isinstance(found, LogUnavailable):
            return False
        if isinstance(found, PastRetention):
            self.gaps += 1
            self._oldest_offset = found.oldest_offset
            self.progress = FollowerState.REBUILDING
            log_event(Event.LOG_GAP_FOUND, stream=self.reader.stream, offset=self.offset)
            return True
        for item in found.records:
            self._last_appended_at_s = item.appended_at_s
            self.view.apply(item)
        if found.at_end:
            self.progress = FollowerState.CURRENT
            self._current_at_s = loop_time()
            self._current.set()
        return True

    async def _rebuild(self) -> bool:
        async with aclosing(self.snapshots.find()) as candidates:
            async for found in candidates:
                if isinstance(found, LogUnavailable):
                    return False
                if self._restore(found):
                    self._start_reading()
                    return True
        if self.offset >= self._oldest_offset:
            self._start_reading()
        else:
            self.progress = FollowerState.GAP
        return True

    def _restore(self, found: StoredSnapshot) -> bool:
        snapshot = found.snapshot
        self._newest_schema = max(self._newest_schema, snapshot.schema_version)
        if snapshot.covers < max(self.offset, self._oldest_offset):
            return False
        if not self.view.restore(snapshot.state):
            return False
        self.reader.seek(snapshot.covers, CopyFilter(snapshot.copies))
        self._last_appended_at_s = snapshot.taken_at_s
        self._unknown_before = self.reader.counts.unknown
        return True

    def _start_reading(self) -> None:
        if self._oldest_offset:
            log_event(Event.LOG_GAP_MENDED, stream=self.reader.stream, offset=self.offset)
        self.progress = FollowerState.READING

    def _apply_resume(self) -> None:
        offset, self._resume_offset = self._resume_offset, None
        if offset is not None and self.can_resume(offset):
            self.reader.seek(offset)
            self._start_reading()

    def _note_availability(self, available: bool) -> None:
        if available != self.available:
            event = Event.LOG_RECOVERED if available else Event.LOG_UNAVAILABLE
            log_event(event, stream=self.reader.stream)
        self.available = available

"""Service that keeps a view up to date with one stream."""

from __future__ import annotations

import asyncio
import enum
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol

from mode import Service

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log._duplicates import DuplicateFilter
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
    """State computed from the records of one stream.

    The state must depend only on the records and their order, so that all processes agree.
    """

    def apply(self, item: StreamRecord) -> None:
        """Apply the next record to the state."""

    def dump(self) -> bytes:
        """Encode the state for a snapshot."""

    def restore(self, state: bytes) -> bool:
        """Replace the state with that of a snapshot; return whether it could be decoded."""


class FollowerState(enum.StrEnum):
    """Progress of a follower."""

    REBUILDING = "rebuilding"
    """The follower looks for a snapshot to start from."""
    READING = "reading"
    """The follower has not yet reached the end of the stream."""
    CURRENT = "current"
    """The follower has reached the end of the stream and waits for new records."""
    GAP = "gap"
    """Unread records were removed and no snapshot covers them; the search for one is repeated."""


class StreamFollower(Service):
    """Rebuilds a view from the newest snapshot, then applies new records to it.

    Parameters
    ----------
    reader
        Reader of the stream; it must not be shared.
    snapshots
        Snapshots of the stream.
    view
        The view to keep up to date.
    rng
        Random source of retry jitter.

    Attributes
    ----------
    progress
        Current progress.
    gaps
        How often the log had removed records before they were read.
    available
        Whether the last read from the log succeeded.
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
        self._end_reached = asyncio.Event()
        self._end_reached_at_s: float | None = None
        self._oldest_offset = 0
        self._resume_offset: int | None = None
        self._newest_schema_version = 0
        self._unknown_at_restore = 0

    @property
    def offset(self) -> int:
        """Offset of the first record that has not been applied to the view."""
        return self.reader.offset

    @property
    def is_consistent(self) -> bool:
        """Whether the view includes every record below its offset."""
        return self.progress in (FollowerState.READING, FollowerState.CURRENT)

    @property
    def complete(self) -> bool:
        """Whether this program could decode every record that the view is built from.

        Only such a view may be written as a snapshot: an older program skips unknown records, and
        newer programs would lose these records if they restored its snapshot.
        """
        understood = self.reader.counts.unknown == self._unknown_at_restore
        return (
            self.is_consistent
            and understood
            and self.reader.schema.version >= self._newest_schema_version
        )

    def age_s(self) -> float | None:
        """Return the seconds since the end of the stream was last reached; `None` if never."""
        if self._end_reached_at_s is None:
            return None
        return loop_time() - self._end_reached_at_s

    async def wait_current(self) -> None:
        """Wait until the end of the stream has been reached for the first time."""
        await self._end_reached.wait()

    def can_resume(self, offset: int) -> bool:
        """Return whether reading from an offset would close the current gap."""
        return self.progress is FollowerState.GAP and offset >= self._oldest_offset

    def resume(self, offset: int) -> None:
        """Continue reading at an offset up to which the caller has restored the view by itself."""
        self._resume_offset = offset

    def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the current view."""
        return Snapshot(
            self.offset,
            self.reader.schema.version,
            self.reader.duplicate_filter.dump(),
            self.view.dump(),
            self._last_appended_at_s,
        )

    _last_appended_at_s = 0.0

    @Service.task
    async def _follow(self) -> None:
        failures = 0
        while not self.should_stop:
            self._resume_if_requested()
            succeeded = await (self._read() if self.is_consistent else self._rebuild())
            self._log_availability(succeeded)
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
            self._end_reached_at_s = loop_time()
            self._end_reached.set()
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
        self._newest_schema_version = max(self._newest_schema_version, snapshot.schema_version)
        if snapshot.next_offset < max(self.offset, self._oldest_offset):
            return False
        if not self.view.restore(snapshot.state):
            return False
        self.reader.seek(snapshot.next_offset, DuplicateFilter(snapshot.recent_appends))
        self._last_appended_at_s = snapshot.taken_at_s
        self._unknown_at_restore = self.reader.counts.unknown
        return True

    def _start_reading(self) -> None:
        if self._oldest_offset:
            log_event(Event.LOG_GAP_MENDED, stream=self.reader.stream, offset=self.offset)
        self.progress = FollowerState.READING

    def _resume_if_requested(self) -> None:
        offset, self._resume_offset = self._resume_offset, None
        if offset is not None and self.can_resume(offset):
            self.reader.seek(offset)
            self._start_reading()

    def _log_availability(self, available: bool) -> None:
        if available != self.available:
            event = Event.LOG_RECOVERED if available else Event.LOG_UNAVAILABLE
            log_event(event, stream=self.reader.stream)
        self.available = available

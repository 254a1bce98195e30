"""Streams in memory, shared by all clients of one stand-in log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import WallClock, loop_time
from briardeal_core.log import Appended, EntryBatch, LogEntry, PastRetention

if TYPE_CHECKING:
    from briardeal_core.clock import Clock


class LogStore:
    """All streams of a stand-in log.

    Parameters
    ----------
    retention_s
        How long entries are kept, in seconds; `None` for always.
    clock
        Clock of the log; wall time when not given.

    Attributes
    ----------
    appends
        Number of appends that took effect.
    appended_bytes
        Size of their records.
    """

    def __init__(self, retention_s: float | None = None, clock: Clock | None = None) -> None:
        self.retention_s = retention_s
        self.clock = WallClock() if clock is None else clock
        self.streams: dict[str, _Stream] = {}
        self.appends = 0
        self.appended_bytes = 0

    def append(self, stream: str, record: bytes, append_id: str) -> Appended:
        """Append one record and wake those who wait for it."""
        found = self._find(stream)
        now_s = self.clock.now_s()
        entry = LogEntry(found.end, append_id, bytes(record), now_s)
        found.entries.append(entry)
        self.appends += 1
        self.appended_bytes += len(record)
        found.wake()
        return Appended(entry.offset, now_s)

    def read(self, stream: str, offset: int, limit: int) -> EntryBatch | PastRetention:
        """Read the entries that are there."""
        found = self._find(stream)
        if offset < found.oldest:
            return PastRetention(found.oldest, found.end)
        start = offset - found.oldest
        entries = tuple(found.entries[start : start + limit])
        return EntryBatch(entries, offset + len(entries), found.end)

    async def wait(self, stream: str, offset: int, wait_s: float) -> None:
        """Wait until there is an entry at the offset, at most `wait_s` seconds."""
        found = self._find(stream)
        deadline = loop_time() + wait_s
        try:
            async with asyncio.timeout_at(deadline):
                while found.end <= offset:
                    await found.changed.wait()
        except TimeoutError:
            return

    def drop_before(self, stream: str, offset: int) -> None:
        """Drop all entries below an offset, as retention would."""
        found = self.streams[stream]
        found.drop(max(0, min(offset, found.end) - found.oldest))

    def _find(self, stream: str) -> _Stream:
        found = self.streams.setdefault(stream, _Stream())
        if self.retention_s is not None:
            found.drop_older(self.clock.now_s() - self.retention_s)
        return found


class _Stream:
    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.oldest = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.oldest + len(self.entries)

    def drop(self, count: int) -> None:
        del self.entries[:count]
        self.oldest += count

    def drop_older(self, time_s: float) -> None:
        count = 0
        while count < len(self.entries) and self.entries[count].appended_at_s < time_s:
            count += 1
        if count:
            self.drop(count)

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

"""In-memory streams, shared by all clients of a stand-in log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import WallClock, loop_time
from briardeal_core.log import Appended, EntryBatch, LogEntry, PastRetention

if TYPE_CHECKING:
    from briardeal_core.clock import Clock


class LogStore:
    """Streams of a stand-in log.

    Parameters
    ----------
    retention_s
        Retention of entries, in seconds; `None` to retain them without limit.
    clock
        Clock of the log; the wall clock by default.

    Attributes
    ----------
    appends
        Number of appends that took effect.
    appended_bytes
        Total size of their records, in bytes.
    """

    def __init__(self, retention_s: float | None = None, clock: Clock | None = None) -> None:
        self.retention_s = retention_s
        self.clock = WallClock() if clock is None else clock
        self.streams: dict[str, _Stream] = {}
        self.appends = 0
        self.appended_bytes = 0

    def append(self, stream: str, record: bytes, append_id: str) -> Appended:
        """Append one record and wake the readers that wait for it."""
        stored_stream = self._get_stream(stream)
        now_s = self.clock.now_s()
        entry = LogEntry(stored_stream.end, append_id, bytes(record), now_s)
        stored_stream.entries.append(entry)
        self.appends += 1
        self.appended_bytes += len(record)
        stored_stream.wake_readers()
        return Appended(entry.offset, now_s)

    def read(self, stream: str, offset: int, limit: int) -> EntryBatch | PastRetention:
        """Read up to `limit` stored entries."""
        stored_stream = self._get_stream(stream)
        if offset < stored_stream.oldest_offset:
            return PastRetention(stored_stream.oldest_offset, stored_stream.end)
        start = offset - stored_stream.oldest_offset
        entries = tuple(stored_stream.entries[start : start + limit])
        return EntryBatch(entries, offset + len(entries), stored_stream.end)

    async def wait_for_entry(self, stream: str, offset: int, wait_s: float) -> None:
        """Wait up to `wait_s` seconds until there is an entry at the offset."""
        stored_stream = self._get_stream(stream)
        deadline = loop_time() + wait_s
        try:
            async with asyncio.timeout_at(deadline):
                while stored_stream.end <= offset:
                    await stored_stream.changed.wait()
        except TimeoutError:
            return

    def drop_before(self, stream: str, offset: int) -> None:
        """Drop all entries below an offset, as retention does."""
        stored_stream = self.streams[stream]
        stored_stream.drop_oldest(
            max(0, min(offset, stored_stream.end) - stored_stream.oldest_offset)
        )

    def _get_stream(self, stream: str) -> _Stream:
        stored_stream = self.streams.setdefault(stream, _Stream())
        if self.retention_s is not None:
            stored_stream.drop_older_than(self.clock.now_s() - self.retention_s)
        return stored_stream


class _Stream:
    """Retained entries of one stream."""

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.oldest_offset = 0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.oldest_offset + len(self.entries)

    def drop_oldest(self, count: int) -> None:
        del self.entries[:count]
        self.oldest_offset += count

    def drop_older_than(self, time_s: float) -> None:
        count = 0
        while count < len(self.entries) and self.entries[count].appended_at_s < time_s:
            count += 1
        if count:
            self.drop_oldest(count)

    def wake_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

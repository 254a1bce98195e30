"""Interface of the log and the outcomes of its calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a stream.

    Parameters
    ----------
    offset
        Position in the stream; rises by one from entry to entry and is never reused.
    append_id
        Identifier that the writer gave the append; entries with the same identifier are
        duplicates.
    record
        The appended bytes.
    appended_at_s
        When the log stored the entry, by the clock of the log, in seconds since the epoch.
    """

    offset: int
    append_id: str
    record: bytes
    appended_at_s: float


@dataclass(frozen=True)
class Appended:
    """The log has stored the record.

    Parameters
    ----------
    offset
        Offset of the entry.
    appended_at_s
        When the log stored the entry, by the clock of the log, in seconds since the epoch.
    """

    offset: int
    appended_at_s: float


@dataclass(frozen=True)
class EntryBatch:
    """Entries read from a stream.

    Parameters
    ----------
    entries
        The entries in order; empty if nothing was appended within the wait time.
    next_offset
        Offset from which to continue reading.
    end_offset
        The offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    next_offset: int
    end_offset: int


@dataclass(frozen=True)
class PastRetention:
    """The requested offset is older than the oldest entry that the log retains.

    Parameters
    ----------
    oldest_offset
        The oldest offset that can be read.
    end_offset
        The offset that the next append will get.
    """

    oldest_offset: int
    end_offset: int


@dataclass(frozen=True)
class LogUnavailable:
    """The log did not answer or reported a failure.

    Parameters
    ----------
    detail
        Description of the failure.
    maybe_written
        Whether the log may nevertheless have stored the append, or may still store it later.
    """

    detail: str
    maybe_written: bool = False


class Log(Protocol):
    """Append-only log service with streams of entries, addressed by offset."""

    async def append(self, stream: str, record: bytes, append_id: str) -> Appended | LogUnavailable:
        """Append one record to a stream."""

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float = 0.0
    ) -> EntryBatch | PastRetention | LogUnavailable:
        """Read up to `limit` entries, waiting up to `wait_s` seconds for the first."""

"""What the log offers, and the outcomes of using it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a stream.

    Parameters
    ----------
    offset
        Place in the stream; rises by one from entry to entry and is never used again.
    append_id
        Identifier that the writer gave the append; entries with the same one are copies.
    record
        What was appended.
    appended_at_s
        When the log took it, by the clock of the log, in seconds since the epoch.
    """

    offset: int
    append_id: str
    record: bytes
    appended_at_s: float


@dataclass(frozen=True)
class Appended:
    """The log has taken the record.

    Parameters
    ----------
    offset
        Where the record stands.
    appended_at_s
        When the log took it, by its own clock, in seconds since the epoch.
    """

    offset: int
    appended_at_s: float


@dataclass(frozen=True)
class EntryBatch:
    """Entries read from a stream.

    Parameters
    ----------
    entries
        The entries in order; none when nothing was appended within the wait.
    next_offset
        Where to read on.
    end_offset
        The offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    next_offset: int
    end_offset: int


@dataclass(frozen=True)
class PastRetention:
    """The offset asked for is older than what the log still keeps.

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
    """The log did not answer, or answered that it can't.

    Parameters
    ----------
    detail
        What went wrong.
    maybe_written
        Whether an append may have taken effect all the same, now or later.
    """

    detail: str
    maybe_written: bool = False


class Log(Protocol):
    """An append-only log service with streams and offsets."""

    async def append(self, stream: str, record: bytes, append_id: str) -> Appended | LogUnavailable:
        """Append one record to a stream."""

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float = 0.0
    ) -> EntryBatch | PastRetention | LogUnavailable:
        """Read at most `limit` entries, waiting up to `wait_s` seconds for the first."""

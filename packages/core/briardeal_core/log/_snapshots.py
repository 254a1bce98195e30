"""Snapshots of the state of a stream, stored on a stream of their own."""

from __future__ import annotations

import uuid
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from briardeal_core.events import Event, log_event
from briardeal_core.log._duplicates import SeenAppend
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._rate_limiter import Priority
from briardeal_core.log._records import (
    BrokenRecord,
    RecordKind,
    Schema,
    decode_envelope,
    encode_envelope,
)

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from briardeal_core.log._model import Log, LogEntry
    from briardeal_core.log._rate_limiter import AppendRateLimiter

PART_LIMIT_BYTES = 256 * 1024
SEARCH_WINDOW_ENTRIES = 8


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state that results from the records below an offset.

    Parameters
    ----------
    next_offset
        Offset of the first record that is not part of the snapshot.
    schema_version
        Schema version of the process that wrote the snapshot.
    recent_appends
        Appends whose duplicates must still be detected.
    state
        State as encoded by the view.
    taken_at_s
        When the last record of the snapshot was appended, by the clock of the log, in seconds since
        the epoch.
    """

    next_offset: int
    schema_version: int
    recent_appends: tuple[SeenAppend, ...]
    state: bytes
    taken_at_s: float


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of an encoded snapshot that fits into one append.

    Parameters
    ----------
    snapshot_id
        Identifier of the snapshot, shared by all its parts.
    token
        Fencing token of the writer.
    index, count
        Index of this part, counted from 0, and number of parts.
    checksum
        XXH3 checksum of the complete encoded snapshot.
    data
        The bytes of this part.
    """

    snapshot_id: str
    token: int
    index: int
    count: int
    checksum: int
    data: bytes


@dataclass(frozen=True)
class StoredSnapshot:
    """A complete snapshot as found on the log.

    Parameters
    ----------
    snapshot
        The snapshot.
    token
        Fencing token of its writer.
    appended_at_s
        When the log stored the part that was read last, by the clock of the log, in seconds since
        the epoch.
    """

    snapshot: Snapshot
    token: int
    appended_at_s: float


SNAPSHOT_SCHEMA = Schema([RecordKind("snapshot_part", SnapshotPart)])


class SnapshotStream:
    """Writes and finds the snapshots of one stream.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream of snapshots.
    rate_limiter
        Rate limiter shared by all writers of the process.
    rng
        Random source of identifiers.

    Attributes
    ----------
    rejected
        Number of damaged or unreadable entries found.
    """

    def __init__(
        self, log: Log, stream: str, rate_limiter: AppendRateLimiter, rng: random.Random
    ) -> None:
        self.log = log
        self.stream = stream
        self.rate_limiter = rate_limiter
        self.rng = rng
        self.rejected = 0

    async def write(self, snapshot: Snapshot, token: int) -> LogUnavailable | None:
        """Append a snapshot in parts; return the failure that may have left it incomplete."""
        data = msgspec.msgpack.encode(snapshot)
        chunks = [data[at : at + PART_LIMIT_BYTES] for at in range(0, len(data), PART_LIMIT_BYTES)]
        snapshot_id = self._new_id()
        checksum = xxhash.xxh3_64_intdigest(data)
        for index, chunk in enumerate(chunks):
            part = SnapshotPart(snapshot_id, token, index, len(chunks), checksum, chunk)
            envelope = encode_envelope([SNAPSHOT_SCHEMA.encode(part)])
            await self.rate_limiter.acquire(Priority.STATISTICS)
            outcome = await self.log.append(self.stream, envelope, self._new_id())
            if not isinstance(outcome, Appended):
                return outcome
        log_event(Event.SNAPSHOT_WRITTEN, stream=self.stream, covers=snapshot.next_offset)
        return None

    async def find(self) -> AsyncIterator[StoredSnapshot | LogUnavailable]:
        """Yield the complete snapshots, newest first.

        Earlier entries are read only when the caller asks for the next snapshot.
        """
        span = await self._find_offset_range()
        if isinstance(span, LogUnavailable):
            yield span
            return
        parts: dict[str, dict[int, SnapshotPart]] = defaultdict(dict)
        high = span.stop
        while high > span.start:
            low = max(span.start, high - SEARCH_WINDOW_ENTRIES)
            entries = await self._read_range(low, high)
            if isinstance(entries, LogUnavailable):
                yield entries
                return
            for found in self._assemble_snapshots(parts, entries):
                yield found
            high = low

    async def _find_offset_range(self) -> range | LogUnavailable:
        found = await self.log.read(self.stream, 0, 1)
        if isinstance(found, LogUnavailable):
            return found
        if isinstance(found, PastRetention):
            return range(found.oldest_offset, found.end_offset)
        return range(0, found.end_offset)

    async def _read_range(self, low: int, high: int) -> list[LogEntry] | LogUnavailable:
        entries: list[LogEntry] = []
        while low < high:
            found = await self.log.read(self.stream, low, high - low)
            if isinstance(found, LogUnavailable):
                return found
            if isinstance(found, PastRetention):
                low = found.oldest_offset
                continue
            if not found.entries:
                break
            entries.extend(entry for entry in found.entries if entry.offset < high)
            low = found.next_offset
        return entries

    def _assemble_snapshots(
        self, parts: dict[str, dict[int, SnapshotPart]], entries: list[LogEntry]
    ) -> list[StoredSnapshot]:
        """Return the snapshots that these entries complete, those of the highest token first.

        A writer that lost its claim and wrote late thus comes after its successor.
        """
        added = [self._add_part(parts, entry) for entry in reversed(entries)]
        complete = [found for found in added if found is not None]
        return sorted(complete, key=lambda found: found.token, reverse=True)

    def _add_part(
        self, parts: dict[str, dict[int, SnapshotPart]], entry: LogEntry
    ) -> StoredSnapshot | None:
        envelope = decode_envelope(entry.record)
        if isinstance(envelope, BrokenRecord):
            return self._reject(entry)
        for encoded in envelope.records:
            part = SNAPSHOT_SCHEMA.decode(encoded)
            if not isinstance(part, SnapshotPart):
                return self._reject(entry)
            known = parts[part.snapshot_id]
            if part.index in known:
                continue
            known[part.index] = part
            if len(known) == part.count:
                return self._assemble(entry, known)
        return None

    def _assemble(self, entry: LogEntry, parts: dict[int, SnapshotPart]) -> StoredSnapshot | None:
        data = b"".join(parts[index].data for index in sorted(parts))
        if 0 not in parts or xxhash.xxh3_64_intdigest(data) != parts[0].checksum:
            return self._reject(entry)
        try:
            snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        except msgspec.MsgspecError:
            return self._reject(entry)
        return StoredSnapshot(snapshot, parts[0].token, entry.appended_at_s)

    def _reject(self, entry: LogEntry) -> None:
        self.rejected += 1
        log_event(Event.SNAPSHOT_REJECTED, stream=self.stream, offset=entry.offset)

    def _new_id(self) -> str:
        return uuid.UUID(int=self.rng.getrandbits(128)).hex

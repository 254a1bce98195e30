"""Reading of typed records from a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_core.log._copies import CopyFilter
from briardeal_core.log._model import EntryBatch, LogUnavailable, PastRetention
from briardeal_core.log._records import BrokenRecord, UnknownRecord, decode_envelope

if TYPE_CHECKING:
    import msgspec

    from briardeal_core.log._model import Log, LogEntry
    from briardeal_core.log._records import Schema

READ_LIMIT = 500
"""Most entries in one read."""


@attrs.frozen
class StreamRecord:
    """A record read from a stream.

    Parameters
    ----------
    record
        The record.
    offset
        Offset of its entry.
    append_id
        Identifier of its append.
    appended_at_s
        When the log took it, by the log's clock, in seconds since the epoch.
    """

    record: msgspec.Struct
    offset: int
    append_id: str
    appended_at_s: float


@dataclass(frozen=True)
class RecordBatch:
    """The records that one read gave.

    Parameters
    ----------
    records
        The records in order, without copies, unknown and broken ones.
    at_end
        Whether nothing more was there.
    """

    records: tuple[StreamRecord, ...]
    at_end: bool


@attrs.define
class ReaderCounts:
    """What a reader has met, in numbers of entries or records."""

    entries: int = 0
    records: int = 0
    duplicates: int = 0
    unknown: int = 0
    broken: int = 0


class StreamReader:
    """Reads one stream from an offset on.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream.
    schema
        The records that can be read.

    Attributes
    ----------
    offset
        Offset of the next entry to read.
    copies
        The appends that were seen lately.
    counts
        What was met so far.
    """

    def __init__(self, log: Log, stream: str, schema: Schema) -> None:
        self.log = log
        self.stream = stream
        self.schema = schema
        self.offset = 0
        self.copies = CopyFilter()
        self.counts = ReaderCounts()

    def seek(self, offset: int, copies: CopyFilter | None = None) -> None:
        """Read on from another offset, with the appends seen before it."""
        self.offset = offset
        self.copies = CopyFilter() if copies is None else copies

    async def read(self, wait_s: float = 0.0) -> RecordBatch | PastRetention | LogUnavailable:
        """Read what follows, waiting up to `wait_s` seconds for the first entry.

        Returns
        -------
        RecordBatch | PastRetention | LogUnavailable
            `PastRetention` when entries that were not read are gone; the offset stays where it
            is, and the caller has to start again from a snapshot.
        """
        found = await self.log.read(self.stream, self.offset, READ_LIMIT, wait_s)
        if not isinstance(found, EntryBatch):
            return found
        records: list[StreamRecord] = []
        for entry in found.entries:
            if entry.offset < self.offset:
                self.counts.duplicates += 1
                continue
            if entry.offset > self.offset:
                return self._missing_entries(records, entry.offset, found.end_offset)
            self.offset += 1
            records.extend(self._decode_entry(entry))
        return RecordBatch(tuple(records), self.offset >= found.end_offset)

    def _missing_entries(
        self, records: list[StreamRecord], offset: int, end_offset: int
    ) -> RecordBatch | PastRetention:
        if records:
            return RecordBatch(tuple(records), at_end=False)
        return PastRetention(offset, end_offset)

    def _decode_entry(self, entry: LogEntry) -> list[StreamRecord]:
        self.counts.entries += 1
        if self.copies.is_copy(entry.append_id, entry.appended_at_s):
            self.counts.duplicates += 1
            return []
        envelope = decode_envelope(entry.record)
        if isinstance(envelope, BrokenRecord):
            self._count_broken(entry, envelope)
            return []
        return [
            StreamRecord(record, entry.offset, entry.append_id, entry.appended_at_s)
            for encoded in envelope.records
            if (record := self._accept(entry, self.schema.decode(encoded))) is not None
        ]

    def _accept(
        self, entry: LogEntry, record: msgspec.Struct | UnknownRecord | BrokenRecord
    ) -> msgspec.Struct | None:
        if isinstance(record, BrokenRecord):
            self._count_broken(entry, record)
            return None
        if isinstance(record, UnknownRecord):
            self.counts.unknown += 1
            log_event(
                Event.RECORD_UNKNOWN, stream=self.stream, offset=entry.offset, kind=record.kind
            )
            return None
        self.counts.records += 1
        return record

    def _count_broken(self, entry: LogEntry, broken: BrokenRecord) -> None:
        self.counts.broken += 1
        log_event(
            Event.RECORD_BROKEN, stream=self.stream, offset=entry.offset, detail=broken.detail
        )

"""Reader of the records of a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_core.log._duplicates import DuplicateFilter
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
        When the log stored the entry, by the clock of the log, in seconds since the epoch.
    """

    record: msgspec.Struct
    offset: int
    append_id: str
    appended_at_s: float


@dataclass(frozen=True)
class RecordBatch:
    """The records returned by one read.

    Parameters
    ----------
    records
        The records in order, without duplicates and without unknown or broken records.
    at_end
        Whether the read reached the end of the stream.
    """

    records: tuple[StreamRecord, ...]
    at_end: bool


@attrs.define
class ReaderCounts:
    """Numbers of entries read, and of records or entries by outcome."""

    entries: int = 0
    records: int = 0
    duplicates: int = 0
    unknown: int = 0
    broken: int = 0


class StreamReader:
    """Reads the records of one stream in order, starting at an offset.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream.
    schema
        The kinds of record that can be decoded.

    Attributes
    ----------
    offset
        Offset of the next entry to read.
    duplicate_filter
        Filter that drops duplicate entries.
    counts
        Counts of the entries and records read so far.
    """

    def __init__(self, log: Log, stream: str, schema: Schema) -> None:
        self.log = log
        self.stream = stream
        self.schema = schema
        self.offset = 0
        self.duplicate_filter = DuplicateFilter()
        self.counts = ReaderCounts()

    def seek(self, offset: int, duplicate_filter: DuplicateFilter | None = None) -> None:
        """Continue at another offset; the filter holds the appends before it (default: none)."""
        self.offset = offset
        self.duplicate_filter = DuplicateFilter() if duplicate_filter is None else duplicate_filter

    async def read(self, wait_s: float = 0.0) -> RecordBatch | PastRetention | LogUnavailable:
        """Read the next records, waiting up to `wait_s` seconds for the first entry.

        Returns
        -------
        RecordBatch | PastRetention | LogUnavailable
            `PastRetention` if the log no longer has the next entries; the offset stays unchanged,
            and the caller has to start again from a snapshot.
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
                return self._report_missing(records, entry.offset, found.end_offset)
            self.offset += 1
            records.extend(self._decode_entry(entry))
        return RecordBatch(tuple(records), self.offset >= found.end_offset)

    def _report_missing(
        self, records: list[StreamRecord], offset: int, end_offset: int
    ) -> RecordBatch | PastRetention:
        if records:
            return RecordBatch(tuple(records), at_end=False)
        return PastRetention(offset, end_offset)

    def _decode_entry(self, entry: LogEntry) -> list[StreamRecord]:
        self.counts.entries += 1
        if self.duplicate_filter.is_duplicate(entry.append_id, entry.appended_at_s):
            self.counts.duplicates += 1
            return []
        envelope = decode_envelope(entry.record)
        if isinstance(envelope, BrokenRecord):
            self._count_broken(entry, envelope)
            return []
        return [
            StreamRecord(record, entry.offset, entry.append_id, entry.appended_at_s)
            for encoded in envelope.records
            if (record := self._count_record(entry, self.schema.decode(encoded))) is not None
        ]

    def _count_record(
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

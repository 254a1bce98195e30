"""Versioned record types and the envelope that holds the records of one append."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

ENVELOPE_FORMAT = 1


@attrs.frozen
class RecordKind:
    """A kind of record in a stream.

    Parameters
    ----------
    name
        Name of the kind in the log; it never changes.
    type
        Struct into which the record is decoded. New fields need defaults, so that older records
        can still be decoded; older readers ignore new fields.
    version
        Version of the encoding; raised only if a reader of the previous version would misread the
        record.
    """

    name: str
    type: type[msgspec.Struct]
    version: int = 1


class EncodedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as encoded in an envelope."""

    kind: str
    version: int
    body: msgspec.Raw


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The records of one append."""

    format: int
    records: tuple[EncodedRecord, ...]


@dataclass(frozen=True)
class UnknownRecord:
    """A record of a kind or version that this program does not support."""

    kind: str
    version: int


@dataclass(frozen=True)
class BrokenRecord:
    """A record, or a whole envelope, that can't be decoded."""

    detail: str


class Schema:
    """The kinds of record that this program can read from a stream.

    Parameters
    ----------
    kinds
        The kinds of record.
    version
        Version of the schema, written into snapshots; raised whenever a kind, a version of a kind
        or a field is added.
    """

    def __init__(self, kinds: Iterable[RecordKind], version: int = 1) -> None:
        self.version = version
        self._by_name = {kind.name: kind for kind in kinds}
        self._by_type = {kind.type: kind for kind in self._by_name.values()}

    def encode(self, record: msgspec.Struct) -> EncodedRecord:
        """Encode one record."""
        kind = self._by_type[type(record)]
        body = msgspec.Raw(msgspec.msgpack.encode(record))
        return EncodedRecord(kind.name, kind.version, body)

    def decode(self, encoded: EncodedRecord) -> msgspec.Struct | UnknownRecord | BrokenRecord:
        """Decode one record; return what prevents it if it is unknown or broken."""
        kind = self._by_name.get(encoded.kind)
        if kind is None or encoded.version > kind.version:
            return UnknownRecord(encoded.kind, encoded.version)
        try:
            return msgspec.msgpack.decode(encoded.body, type=kind.type)
        except msgspec.MsgspecError as error:
            return BrokenRecord(f"{encoded.kind}: {error}")


def encode_envelope(records: Sequence[EncodedRecord]) -> bytes:
    """Encode the records of one append."""
    return msgspec.msgpack.encode(Envelope(ENVELOPE_FORMAT, tuple(records)))


def decode_envelope(data: bytes) -> Envelope | BrokenRecord:
    """Decode the records of one append."""
    try:
        return msgspec.msgpack.decode(data, type=Envelope)
    except msgspec.MsgspecError as error:
        return BrokenRecord(str(error))

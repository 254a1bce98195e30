"""Messages for calls to the store that an entry makes through another entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import msgspec

from briardeal_core.decoding import decode_msgpack
from briardeal_workflow.store import (
    Appended,
    Conflict,
    Fenced,
    NotStored,
    OutOfReach,
    Page,
    Position,
    Record,
    Trimmed,
    Unconfirmed,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

PART_BYTES = 16_384
"""Size of the parts of a large answer. Between two of them, other answers are sent."""

APPEND_OUTCOMES = {
    outcome.__name__: outcome for outcome in (Appended, Conflict, Fenced, NotStored, Unconfirmed)
}
READ_OUTCOMES = {outcome.__name__: outcome for outcome in (Page, Trimmed, OutOfReach)}


class RelayHello(msgspec.Struct, frozen=True, tag="relay"):
    """First message of an entry that calls the store through the receiving entry."""

    entry_id: str


class RelayAppend(msgspec.Struct, frozen=True, tag="relay_append"):
    """Request to append records; see `Store.append`."""

    call_id: int
    topic: str
    records: tuple[Record, ...]
    expected_end: int | None
    position: Position | None
    timeout_s: float


class RelayRead(msgspec.Struct, frozen=True, tag="relay_read"):
    """Request to read records from an offset on; see `Store.read`.

    Parameters
    ----------
    call_id, topic, offset, wait_s
        Number of the call, and arguments of `Store.read`.
    in_parts
        Whether `RelayPart` messages may precede the answer; entries of an earlier version don't
        know them.
    """

    call_id: int
    topic: str
    offset: int
    wait_s: float
    in_parts: bool = False


class RelayList(msgspec.Struct, frozen=True, tag="relay_list"):
    """Request for a page of the newest record of each key; see `Store.list_newest`.

    Parameters
    ----------
    call_id, topic, after_key
        Number of the call, and arguments of `Store.list_newest`.
    in_parts
        As for `RelayRead`.
    """

    call_id: int
    topic: str
    after_key: str
    in_parts: bool = False


class RelayCancel(msgspec.Struct, frozen=True, tag="relay_cancel"):
    """Request to drop a call, as its answer is not needed any more."""

    call_id: int


class RelayPart(msgspec.Struct, frozen=True, tag="relay_part", omit_defaults=True):
    """Part of the records of an answer that follows, or progress of the relaying entry.

    Parameters
    ----------
    call_id
        Number of the call.
    data
        Next part of the encoded records; empty while the relaying entry receives them itself.
    """

    call_id: int
    data: bytes = b""

    is_part: ClassVar[bool] = True

    @property
    def progress_bytes(self) -> int:
        """Size of the part of the answer for which this stands."""
        return len(self.data) or PART_BYTES


class RelayAnswer(msgspec.Struct, frozen=True, tag="relay_answer", omit_defaults=True):
    """Response to a relayed call.

    Parameters
    ----------
    call_id
        Number of the call.
    outcome
        Name of the class of the outcome.
    end, detail, records, next_offset, next_key
        Fields of the outcome; defaults for fields that its class lacks.
    in_parts
        Whether parts with the records preceded the answer; `records` is empty then.
    """

    call_id: int
    outcome: str
    end: int = 0
    detail: str = ""
    records: tuple[Record, ...] = ()
    next_offset: int = 0
    next_key: str = ""
    in_parts: bool = False

    @classmethod
    def from_outcome(cls, call_id: int, outcome: object) -> RelayAnswer:
        """Return the response for an outcome."""
        names = cls.__struct_fields__[2:-1]
        fields = {name: getattr(outcome, name) for name in names if hasattr(outcome, name)}
        return cls(call_id, type(outcome).__name__, **fields)

    def append_outcome(self) -> Appended | Conflict | Fenced | NotStored | Unconfirmed:
        """Return the outcome of an append."""
        kind = APPEND_OUTCOMES.get(self.outcome)
        if kind in (Appended, Conflict):
            return kind(self.end)
        if kind is Fenced:
            return Fenced()
        return kind(self.detail) if kind is not None else Unconfirmed(self.outcome)

    def read_outcome(self) -> Page | Trimmed | OutOfReach:
        """Return the outcome of a read."""
        kind = READ_OUTCOMES.get(self.outcome)
        if kind is Page:
            return Page(self.records, self.next_offset, self.next_key)
        return Trimmed() if kind is Trimmed else OutOfReach(self.detail)

    def split(self) -> list[RelayPart | RelayAnswer]:
        """Return the messages to send instead: parts with the records, then the rest."""
        if sum(len(record.value or b"") for record in self.records) <= PART_BYTES:
            return [self]
        data = msgspec.msgpack.encode(self.records)
        parts = [
            RelayPart(self.call_id, data[start : start + PART_BYTES])
            for start in range(0, len(data), PART_BYTES)
        ]
        return [*parts, msgspec.structs.replace(self, records=(), in_parts=True)]

    def join(self, parts: Sequence[bytes]) -> RelayAnswer:
        """Return the answer with the records of the parts that preceded it.

        Raises
        ------
        msgspec.DecodeError
            If parts are missing or malformed.
        """
        if not self.in_parts:
            return self
        records = decode_msgpack(b"".join(parts), tuple[Record, ...])
        return msgspec.structs.replace(self, records=records, in_parts=False)

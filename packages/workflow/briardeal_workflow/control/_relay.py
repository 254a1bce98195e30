"""Messages for calls to the store that an entry makes through another entry."""

from __future__ import annotations

import msgspec

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
    """Request to read records from an offset on; see `Store.read`."""

    call_id: int
    topic: str
    offset: int
    wait_s: float


class RelayList(msgspec.Struct, frozen=True, tag="relay_list"):
    """Request for a page of the newest record of each key; see `Store.list_newest`."""

    call_id: int
    topic: str
    after_key: str


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
    """

    call_id: int
    outcome: str
    end: int = 0
    detail: str = ""
    records: tuple[Record, ...] = ()
    next_offset: int = 0
    next_key: str = ""

    @classmethod
    def from_outcome(cls, call_id: int, outcome: object) -> RelayAnswer:
        """Return the response for an outcome."""
        names = cls.__struct_fields__[2:]
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

"""Interface of a store of topics that retains the newest record of each key permanently."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@attrs.frozen
class Record:
    """A record of a topic.

    Parameters
    ----------
    key
        Key of the record; a newer record with the same key replaces it.
    value
        Content of the record; `None` removes the key.
    offset
        Position in the topic; -1 for a record that is not appended yet.
    """

    key: str
    value: bytes | None
    offset: int = -1


@attrs.frozen
class Position:
    """Position of an append in the sequence of one fenced writer.

    Parameters
    ----------
    writer
        Role of the writer.
    epoch
        Fencing token; the store rejects appends with a lower token than it has seen for the role.
    sequence
        Number of the append under this token, so that a repetition has no further effect.
    """

    writer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class Appended:
    """The records are stored; `end` is the offset after the last record of the topic."""

    end: int


@dataclass(frozen=True)
class Conflict:
    """The topic ended at `end` instead of the expected offset, so no record was stored."""

    end: int


@dataclass(frozen=True)
class Fenced:
    """A writer with a higher epoch has taken over, so no record was stored."""


@dataclass(frozen=True)
class NotStored:
    """The store rejected the append; the records are certainly not stored."""

    detail: str


@dataclass(frozen=True)
class Unconfirmed:
    """The store did not answer; the records may be stored already or seconds later."""

    detail: str


AppendOutcome = Appended | Conflict | Fenced | NotStored | Unconfirmed


@dataclass(frozen=True)
class Page:
    """One page of records.

    Parameters
    ----------
    records
        Records in the order of their offsets (`Store.read`) or keys (`Store.list_newest`).
    next_offset
        Offset from which to continue reading.
    next_key
        Key after which the next page of `Store.list_newest` begins; empty on the last page.
    """

    records: tuple[Record, ...]
    next_offset: int
    next_key: str = ""


@dataclass(frozen=True)
class Trimmed:
    """The store has deleted records at the requested offset."""


@dataclass(frozen=True)
class OutOfReach:
    """The store could not be read."""

    detail: str


ReadOutcome = Page | Trimmed | OutOfReach


def ignore_progress() -> None:
    """Ignore the progress of a read."""


class Store(Protocol):
    """Calls to a store of topics with keyed records."""

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_end: int | None = None,
        position: Position | None = None,
        timeout_s: float,
    ) -> AppendOutcome:
        """Append all records or none.

        Parameters
        ----------
        topic, records
            Records, and the topic to append them to.
        expected_end
            Offset at which the topic must end; `None` for any.
        position
            Position among the appends of a fenced writer; `None` for an unfenced append.
        timeout_s
            Longest time to wait for an answer, in seconds.
        """

    async def read(
        self,
        topic: str,
        offset: int,
        *,
        wait_s: float,
        on_progress: Callable[[], None] = ignore_progress,
    ) -> ReadOutcome:
        """Read records from an offset on.

        The answer may take as long as parts of it arrive; see `TransferDeadline`.

        Parameters
        ----------
        topic, offset
            Topic, and position of the first record to read.
        wait_s
            Longest time for which the store waits for the first record, in seconds.
        on_progress
            Called whenever a part of the records has arrived.
        """

    async def list_newest(
        self, topic: str, after_key: str, on_progress: Callable[[], None] = ignore_progress
    ) -> ReadOutcome:
        """Read a page of the newest record of each key; `after_key` is empty for the first page."""

"""A store of topics whose newest record of each key is kept for good."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Record:
    """A record of a topic.

    Parameters
    ----------
    key
        What it is about.
    value
        What is kept; `None` removes the key.
    offset
        Its number in the topic; -1 for one that is to be appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


@attrs.frozen
class Position:
    """Place of an append among those of one fenced writer.

    Parameters
    ----------
    writer
        Name of the role that writes.
    epoch
        Fencing token; appends with a lower one than was seen are refused.
    sequence
        Number of the append, so that a repetition has no further effect.
    """

    writer: str
    epoch: int
    sequence: int


@dataclass(frozen=True)
class Appended:
    """The records are kept; the topic ends at `end`."""

    end: int


@dataclass(frozen=True)
class Conflict:
    """The topic ended elsewhere than expected, so nothing was kept."""

    end: int


@dataclass(frozen=True)
class Fenced:
    """A writer with a higher epoch has taken over, so nothing was kept."""


@dataclass(frozen=True)
class NotStored:
    """The store did not take the records; it is certain that they are not kept."""

    detail: str


@dataclass(frozen=True)
class Unconfirmed:
    """No answer came; the records may be kept, now or seconds later."""

    detail: str


AppendOutcome = Appended | Conflict | Fenced | NotStored | Unconfirmed


@dataclass(frozen=True)
class Page:
    """Records in order.

    Parameters
    ----------
    records
        The records.
    next_offset
        Where to read on.
    next_key
        Key after which a list of the newest records goes on; empty for the last page.
    """

    records: tuple[Record, ...]
    next_offset: int
    next_key: str = ""


@dataclass(frozen=True)
class Trimmed:
    """Records from the wanted offset on are gone."""


@dataclass(frozen=True)
class OutOfReach:
    """The store could not be read."""

    detail: str


ReadOutcome = Page | Trimmed | OutOfReach


class Store(Protocol):
    """Topics of records with keys."""

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_end: int | None = None,
        position: Position | None = None,
        timeout_s: float,
    ) -> AppendOutcome:
        """Append records, all or none."""

    async def read(self, topic: str, offset: int, *, wait_s: float) -> ReadOutcome:
        """Read from an offset on; wait up to `wait_s` for the first record."""

    async def list_newest(self, topic: str, after_key: str) -> ReadOutcome:
        """Read a page of the newest record of each key."""

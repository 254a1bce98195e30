"""Recognition of copies of an append that the log took more than once."""

from __future__ import annotations

import msgspec

COPY_WINDOW_S = 3600.0
"""How long after the first copy of an append another is still recognised, by the log's clock."""


class SeenAppend(msgspec.Struct, frozen=True, array_like=True):
    """An append identifier and when the log took its first copy, in seconds."""

    append_id: str
    appended_at_s: float


class CopyFilter:
    """The append identifiers of the last hour of a stream.

    What it answers depends only on the entries before, so that all readers agree.
    """

    def __init__(self, seen: tuple[SeenAppend, ...] = ()) -> None:
        self._seen = {item.append_id: item.appended_at_s for item in seen}

    def is_copy(self, append_id: str, appended_at_s: float) -> bool:
        """Return whether an earlier entry had this identifier, and remember it."""
        self._forget(appended_at_s - COPY_WINDOW_S)
        if append_id in self._seen:
            return True
        self._seen[append_id] = appended_at_s
        return False

    def dump(self) -> tuple[SeenAppend, ...]:
        """Return what is remembered, oldest first."""
        return tuple(SeenAppend(append_id, at_s) for append_id, at_s in self._seen.items())

    def _forget(self, before_s: float) -> None:
        while self._seen:
            oldest = next(iter(self._seen))
            if self._seen[oldest] >= before_s:
                return
            del self._seen[oldest]

"""Detection of duplicate entries: one append that the log stored more than once."""

from __future__ import annotations

import msgspec

DUPLICATE_WINDOW_S = 3600.0
"""How long after an append its duplicates are still detected, by the clock of the log."""


class SeenAppend(msgspec.Struct, frozen=True, array_like=True):
    """An append identifier and when the log first stored it, in seconds since the epoch."""

    append_id: str
    appended_at_s: float


class DuplicateFilter:
    """Detects duplicates by the append identifiers of the last hour of a stream.

    The result depends only on the earlier entries of the stream, so all readers agree.
    """

    def __init__(self, seen: tuple[SeenAppend, ...] = ()) -> None:
        self._seen = {item.append_id: item.appended_at_s for item in seen}

    def is_duplicate(self, append_id: str, appended_at_s: float) -> bool:
        """Record an append identifier and return whether an earlier entry had the same one."""
        self._remove_expired(appended_at_s - DUPLICATE_WINDOW_S)
        if append_id in self._seen:
            return True
        self._seen[append_id] = appended_at_s
        return False

    def dump(self) -> tuple[SeenAppend, ...]:
        """Return the recorded append identifiers, oldest first."""
        return tuple(SeenAppend(append_id, at_s) for append_id, at_s in self._seen.items())

    def _remove_expired(self, before_s: float) -> None:
        while self._seen:
            oldest = next(iter(self._seen))
            if self._seen[oldest] >= before_s:
                return
            del self._seen[oldest]

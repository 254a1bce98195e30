"""Record of the decisions on one job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardeal_scheduling.decisions._causes import Cause

RECORD_LIMIT = 32
"""Most entries of one job; the oldest are dropped first."""


@attrs.frozen
class DecisionEntry:
    """A decision on a job.

    Parameters
    ----------
    at_s
        When it was made, in seconds.
    cause
        Its cause.
    fields
        Values of the placeholders of the sentence.
    until_s
        When the wait is expected to end, in seconds, or `None`.
    """

    at_s: float
    cause: Cause
    fields: dict[str, object]
    until_s: float | None = None

    def format_sentence(self, now_s: float) -> str:
        """Return the sentence; a time that it gives counts from `now_s`."""
        fields = self.fields
        if self.until_s is not None:
            fields = {**fields, "until": format_duration(self.until_s - now_s)}
        return self.cause.format_sentence(**fields)


@attrs.define
class DecisionRecord:
    """The decisions on one job, oldest first."""

    entries: list[DecisionEntry] = attrs.field(factory=list)

    def add(
        self, at_s: float, cause: Cause, until_s: float | None = None, **fields: object
    ) -> DecisionEntry:
        """Record a decision.

        An entry of the same cause replaces the last one and keeps its time; a cause of waiting
        replaces the last entry if that is one too.
        """
        last = self.entries[-1] if self.entries else None
        if last is not None and last.cause is cause:
            if last.until_s == until_s and last.fields == fields:
                return last
            at_s = last.at_s
        if last is not None and (last.cause is cause or (last.cause.waits and cause.waits)):
            self.entries.pop()
        entry = DecisionEntry(at_s, cause, fields, until_s)
        self.entries.append(entry)
        del self.entries[:-RECORD_LIMIT]
        return entry

    def format_sentences(self, now_s: float) -> list[str]:
        """Return one sentence for each decision, with the time since it was made."""
        return [
            f"{format_duration(now_s - entry.at_s)} ago: {entry.format_sentence(now_s)}"
            for entry in self.entries
        ]


def format_duration(seconds: float) -> str:
    """Return a duration in words."""
    if seconds < 1:
        return "a moment"
    if seconds < 90:
        return f"{seconds:.0f} seconds"
    if seconds < 5400:
        return f"{seconds / 60:.0f} minutes"
    return f"{seconds / 3600:.1f} hours"

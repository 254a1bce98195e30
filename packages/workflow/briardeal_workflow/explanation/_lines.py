"""Log lines as the log collector keeps them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from briardeal_core.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENTS = {event.name.lower(): event for event in Event}


@attrs.frozen
class LogLine:
    """One event of one process.

    Parameters
    ----------
    time_s
        When it was written, in seconds; from the collector, or else from the process.
    vm
        Where it was written; empty where the collector does not say.
    event, fields
        What happened.
    """

    time_s: float
    vm: str
    event: Event
    fields: dict[str, Any]

    def concerns(self, job_id: str) -> bool:
        """Return whether it is about a job or about one of its tasks."""
        named = str(self.fields.get("job_id", "")), str(self.fields.get("task", ""))
        path = str(self.fields.get("path", "")).partition("?")[0]
        return (
            named[0] == job_id
            or named[1].partition(".")[0] == job_id
            or path.rpartition("/")[2] == job_id
        )


@attrs.frozen
class LogLines:
    """What was read from logs.

    Parameters
    ----------
    lines
        Events, oldest first.
    unreadable
        Number of lines that hold no event.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def read_log(texts: Iterable[str]) -> LogLines:
    """Return the events of lines of the form `[TIME VM] JSON`."""
    found = []
    unreadable = 0
    for text in texts:
        line = _read_line(text)
        if line is None:
            unreadable += 1
        else:
            found.append(line)
    found.sort(key=lambda line: line.time_s)
    return LogLines(tuple(found), unreadable)


def _read_line(text: str) -> LogLine | None:
    front, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
        event = EVENTS[fields.pop("message_type")]
        words = front.split()
        time_s = float(words[0]) if words else float(fields.pop("timestamp"))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
    vm = words[1] if len(words) > 1 else ""
    return LogLine(time_s, vm, event, fields)

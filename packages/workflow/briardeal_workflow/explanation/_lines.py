"""Parsing of log lines as the log collector stores them."""

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
    """An event that a process has logged.

    Parameters
    ----------
    time_s
        Time of the event, in seconds; from the collector, or else from the process.
    vm
        VM of the process; empty if the collector did not add it.
    event, fields
        Event, and its log fields without event name and time.
    """

    time_s: float
    vm: str
    event: Event
    fields: dict[str, Any]

    def concerns(self, job_id: str) -> bool:
        """Return whether the line names a job or one of its tasks."""
        named = str(self.fields.get("job_id", "")), str(self.fields.get("task", ""))
        path = str(self.fields.get("path", "")).partition("?")[0]
        return (
            named[0] == job_id
            or named[1].partition(".")[0] == job_id
            or path.rpartition("/")[2] == job_id
        )


@attrs.frozen
class LogLines:
    """Events read from logs.

    Parameters
    ----------
    lines
        Events, oldest first.
    unreadable
        Number of lines that contain no known event.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def read_log(texts: Iterable[str]) -> LogLines:
    """Parse lines of the form `[TIME VM] JSON` and return their events by time."""
    events = []
    unreadable = 0
    for text in texts:
        line = _parse_line(text)
        if line is None:
            unreadable += 1
        else:
            events.append(line)
    events.sort(key=lambda line: line.time_s)
    return LogLines(tuple(events), unreadable)


def _parse_line(text: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
        event = EVENTS[fields.pop("message_type")]
        words = prefix.split()
        time_s = float(words[0]) if words else float(fields.pop("timestamp"))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
    vm = words[1] if len(words) > 1 else ""
    return LogLine(time_s, vm, event, fields)

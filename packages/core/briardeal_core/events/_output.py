"""Output of log lines that never blocks and limits memory and the rate of lines."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

from briardeal_core.events._catalogue import Event

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER_LIMIT_BYTES = 262_144
"""Size limit of the buffer for a reader that stalls; further lines are dropped and counted."""

LINES_PER_SECOND = 100
"""Maximum number of lines of one event per second; further ones are counted, and the next second
begins with a line that states their number."""

ELIOT_FIELDS = frozenset({"task_uuid", "task_level"})
"""Fields that eliot adds for its trees of actions, which this project does not use."""


class LogOutput:
    """Writes events as lines of JSON without waiting for the reader.

    Parameters
    ----------
    descriptor
        File descriptor of the stream; it is set to non-blocking mode.
    now_s
        Returns the time on a monotonic clock, in seconds.

    Attributes
    ----------
    dropped, dropped_reported
        Number of lines dropped because the reader stalled, and how many of them were reported by
        a `LINES_DROPPED` event.
    """

    def __init__(self, descriptor: int, now_s: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.now_s = now_s
        self.dropped = 0
        self.dropped_reported = 0
        self._buffer: deque[bytes] = deque()
        self._buffer_bytes = 0
        self._second = 0
        self._line_counts: dict[str, int] = {}
        self._omitted_counts: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event, unless the limit of its lines per second is reached."""
        second = int(self.now_s())
        if second != self._second:
            self._report_missing_lines()
            self._second = second
        name = message.get("message_type", "")
        self._line_counts[name] = self._line_counts.get(name, 0) + 1
        if self._line_counts[name] <= LINES_PER_SECOND:
            self.dropped += not self._append_line(message)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the reader accepts no more."""
        while self._buffer:
            try:
                written = os.write(self.descriptor, self._buffer[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream, so the loss can't be reported.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffer_bytes = 0
                return
            self._buffer_bytes -= written
            if written < len(self._buffer[0]):
                self._buffer[0] = self._buffer[0][written:]
                return
            self._buffer.popleft()

    def _report_missing_lines(self) -> None:
        """Append lines that report omitted and dropped lines, if the buffer has space."""
        for name, lines in self._line_counts.items():
            if lines > LINES_PER_SECOND:
                self._omitted_counts[name] = (
                    self._omitted_counts.get(name, 0) + lines - LINES_PER_SECOND
                )
        self._line_counts.clear()
        for name, lines in list(self._omitted_counts.items()):
            if self._append_event(Event.LINES_SUMMED_UP, of=name, lines=lines):
                del self._omitted_counts[name]
        unreported = self.dropped - self.dropped_reported
        if unreported and self._append_event(Event.LINES_DROPPED, lines=unreported):
            self.dropped_reported += unreported

    def _append_event(self, event: Event, **fields: Any) -> bool:
        return self._append_line(
            {"message_type": event.name.lower(), "event": event.number, **fields}
        )

    def _append_line(self, message: dict[str, Any]) -> bool:
        """Append a line to the buffer; return `False` if it does not fit."""
        line = encode_line(message)
        if self._buffer_bytes + len(line) > BUFFER_LIMIT_BYTES:
            return False
        self._buffer.append(line)
        self._buffer_bytes += len(line)
        return True


def encode_line(message: dict[str, Any]) -> bytes:
    """Return an event as a line of JSON."""
    fields = {key: value for key, value in message.items() if key not in ELIOT_FIELDS}
    return msgspec.json.encode(fields, enc_hook=str) + b"\n"

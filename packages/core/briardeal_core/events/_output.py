"""Log lines on a stream that may stall, in a bounded volume."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING, Any

import msgspec

from briardeal_core.events._catalogue import Event

if TYPE_CHECKING:
    from collections.abc import Callable

WAITING_LIMIT_BYTES = 262_144
"""Most that waits for a reader that stalls; later lines are dropped and counted."""

LINES_PER_SECOND = 100
"""Most lines of one event in a second; more are counted and summed up in the next second."""

LEFT_OUT = frozenset({"task_uuid", "task_level"})
"""What eliot adds for trees of actions, which are not used here."""


class LogOutput:
    """Writes events as lines of JSON and never waits for the reader.

    Parameters
    ----------
    descriptor
        File descriptor of the stream; it is set to not block.
    now_s
        Returns the time in seconds on a clock that never goes back.

    Attributes
    ----------
    dropped, dropped_told
        Lines that were dropped because the reader stalled, and how many of them a line tells.
    """

    def __init__(self, descriptor: int, now_s: Callable[[], float]) -> None:
        self.descriptor = descriptor
        self.now_s = now_s
        self.dropped = 0
        self.dropped_told = 0
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event."""
        second = int(self.now_s())
        if second != self._second:
            self._sum_up()
            self._second = second
        name = message.get("message_type", "")
        self._lines[name] = self._lines.get(name, 0) + 1
        if self._lines[name] <= LINES_PER_SECOND:
            self.dropped += not self._add(message)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            try:
                written = os.write(self.descriptor, self._waiting[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(self._waiting[0]):
                self._waiting[0] = self._waiting[0][written:]
                return
            self._waiting.popleft()

    def _sum_up(self) -> None:
        """Tell what was left out and dropped before, once there is room to say so."""
        for name, lines in self._lines.items():
            if lines > LINES_PER_SECOND:
                self._left_out[name] = self._left_out.get(name, 0) + lines - LINES_PER_SECOND
        self._lines.clear()
        for name, lines in list(self._left_out.items()):
            if self._tell(Event.LINES_SUMMED_UP, of=name, lines=lines):
                del self._left_out[name]
        untold = self.dropped - self.dropped_told
        if untold and self._tell(Event.LINES_DROPPED, lines=untold):
            self.dropped_told += untold

    def _tell(self, event: Event, **fields: Any) -> bool:
        return self._add({"message_type": event.name.lower(), "event": event.number, **fields})

    def _add(self, message: dict[str, Any]) -> bool:
        """Let a line wait for the reader, and return whether there is room for it."""
        line = encode_line(message)
        if self._waiting_bytes + len(line) > WAITING_LIMIT_BYTES:
            return False
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        return True


def encode_line(message: dict[str, Any]) -> bytes:
    """Return an event as a line of JSON."""
    fields = {key: value for key, value in message.items() if key not in LEFT_OUT}
    return msgspec.json.encode(fields, enc_hook=str) + b"\n"

"""Collection of the log lines of all processes of an emulated deployment."""

from __future__ import annotations

import contextlib
import contextvars
from typing import TYPE_CHECKING, Any

from briardeal_core.clock import loop_time
from briardeal_core.events import add_log_destination, encode_line, remove_log_destination

if TYPE_CHECKING:
    from collections.abc import Iterator

_process: contextvars.ContextVar[str] = contextvars.ContextVar("process")


class LogCollector:
    """Collects lines as the log collector of a site does, with time and VM in front.

    Attributes
    ----------
    lines
        What was collected, oldest first.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []

    def start(self) -> None:
        """Collect from now on."""
        add_log_destination(self._take)

    def stop(self) -> None:
        """Collect no more."""
        remove_log_destination(self._take)

    @contextlib.contextmanager
    def running(self, process: str) -> Iterator[None]:
        """Name the process whose code runs; tasks that it creates inherit the name."""
        token = _process.set(process)
        try:
            yield
        finally:
            _process.reset(token)

    def _take(self, message: dict[str, Any]) -> None:
        process = _process.get(None)
        if process is not None:
            fields = {key: value for key, value in message.items() if key != "timestamp"}
            line = encode_line(fields).decode().strip()
            self.lines.append(f"{loop_time():.2f} {process} {line}")

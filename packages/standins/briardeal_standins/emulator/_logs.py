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
    """Collects log lines as a log collector does, each prefixed with its time and process.

    Attributes
    ----------
    lines
        Collected lines, oldest first.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []

    def start(self) -> None:
        """Start collecting log lines."""
        add_log_destination(self._collect)

    def stop(self) -> None:
        """Stop collecting log lines."""
        remove_log_destination(self._collect)

    @contextlib.contextmanager
    def attribute_to(self, process: str) -> Iterator[None]:
        """Attribute log lines to a process within the context and the tasks created in it."""
        token = _process.set(process)
        try:
            yield
        finally:
            _process.reset(token)

    def _collect(self, message: dict[str, Any]) -> None:
        process = _process.get(None)
        if process is not None:
            fields = {key: value for key, value in message.items() if key != "timestamp"}
            line = encode_line(fields).decode().strip()
            self.lines.append(f"{loop_time():.2f} {process} {line}")

"""Log lines about connections that were closed for a limit or a budget."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

LOG_INTERVAL_S = 1.0
"""Interval, in seconds, over which closed connections are summed up in one line.

A line for each would let a crowd fill the log."""

UNLOGGED = frozenset({"idle", "cut_off"})
"""Reasons that ordinary clients cause, such as an abandoned request."""


class ClosedConnections:
    """Counts closed connections by listener and reason, and logs the sums.

    Parameters
    ----------
    count
        Called with the listener and the reason of each closed connection.
    """

    def __init__(self, count: Callable[[str, str], None]) -> None:
        self.count = count
        self._sums: Counter[str] = Counter()

    def record(self, listener: str, reason: str) -> None:
        """Count a connection, for the metrics at once and for the log within a second."""
        self.count(listener, reason)
        if reason in UNLOGGED:
            return
        if not self._sums:
            asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self._log)
        self._sums[f"{listener} {reason}"] += 1

    def _log(self) -> None:
        sums, self._sums = self._sums, Counter()
        log_event(Event.CLIENTS_CLOSED, closed=sums.total(), counts=dict(sums))

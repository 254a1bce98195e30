"""The rate at which one process may append."""

from __future__ import annotations

import asyncio
import enum

from briardeal_core.clock import loop_time

APPENDS_PER_S = 10.0
APPEND_BURST = 10.0
RESERVED_SHARE = 0.5
"""Share of the burst that statistics leave to acceptance and configuration."""


class Priority(enum.IntEnum):
    """What goes first when the rate is short."""

    ACCEPTANCE = 0
    """Job acceptance, configuration and claims."""
    STATISTICS = 1
    """Everything that can wait."""


class AppendRateLimiter:
    """A token bucket shared by all writers of a process.

    Parameters
    ----------
    rate_per_s
        Appends a second in the long run.
    burst
        Appends that may follow at once after a pause.
    """

    def __init__(self, rate_per_s: float = APPENDS_PER_S, burst: float = APPEND_BURST) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_at_s: float | None = None

    def try_acquire(self, priority: Priority) -> float:
        """Take one append and return 0, or return the seconds after which to ask again."""
        missing = self._missing(priority)
        if missing > 0:
            return missing / self.rate_per_s
        self._tokens -= 1
        return 0.0

    async def acquire(self, priority: Priority) -> None:
        """Wait until an append of this priority may go out."""
        while (wait_s := self.try_acquire(priority)) > 0:
            await asyncio.sleep(wait_s)

    def _missing(self, priority: Priority) -> float:
        now_s = loop_time()
        if self._filled_at_s is not None:
            gained = (now_s - self._filled_at_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + gained)
        self._filled_at_s = now_s
        reserve = self.burst * RESERVED_SHARE if priority is Priority.STATISTICS else 0.0
        missing = 1 + reserve - self._tokens
        return missing if missing > _ROUNDING else 0.0


_ROUNDING = 1e-6
"""Tokens below which the bucket counts as full enough, so that no sleep rounds to nothing."""

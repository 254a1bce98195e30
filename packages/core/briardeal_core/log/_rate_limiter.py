"""Limit on the rate at which one process appends to the log."""

from __future__ import annotations

import asyncio
import enum

from briardeal_core.clock import loop_time

APPENDS_PER_S = 10.0
APPEND_BURST = 10.0
RESERVED_SHARE = 0.5
"""Share of the burst that is reserved for appends of higher priority than statistics."""


class Priority(enum.IntEnum):
    """Priority of an append when the rate limit delays appends; a lower value goes first."""

    ACCEPTANCE = 0
    """Job acceptance, configuration and claims."""
    STATISTICS = 1
    """Records that can be delayed."""


class AppendRateLimiter:
    """Token bucket that limits the appends of all writers of a process.

    Parameters
    ----------
    rate_per_s
        Average appends per second.
    burst
        Size of the bucket: appends that may follow each other at once after a pause.
    """

    def __init__(self, rate_per_s: float = APPENDS_PER_S, burst: float = APPEND_BURST) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at_s: float | None = None

    def try_acquire(self, priority: Priority) -> float:
        """Take one token and return 0, or return the seconds until the next attempt can succeed."""
        missing = self._missing_tokens(priority)
        if missing > 0:
            return missing / self.rate_per_s
        self._tokens -= 1
        return 0.0

    async def acquire(self, priority: Priority) -> None:
        """Wait for a token for one append of this priority and take it."""
        while (wait_s := self.try_acquire(priority)) > 0:
            await asyncio.sleep(wait_s)

    def _missing_tokens(self, priority: Priority) -> float:
        now_s = loop_time()
        if self._refilled_at_s is not None:
            gained = (now_s - self._refilled_at_s) * self.rate_per_s
            self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_at_s = now_s
        reserve = self.burst * RESERVED_SHARE if priority is Priority.STATISTICS else 0.0
        missing = 1 + reserve - self._tokens
        return missing if missing > _TOKEN_TOLERANCE else 0.0


_TOKEN_TOLERANCE = 1e-6
"""A smaller number of missing tokens counts as none: the wait for it would round to 0 s."""

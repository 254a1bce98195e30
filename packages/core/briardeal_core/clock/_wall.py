"""A wall clock that tests can pause and advance together with the event loop."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of wall time."""

    def now_s(self) -> float:
        """Return the wall time, in seconds since the epoch."""


class WallClock:
    """Wall time computed from the clock of the running loop.

    Parameters
    ----------
    epoch_s
        Wall time at zero of the loop's clock, in seconds since the epoch; by default taken from
        the clock of the machine.
    """

    def __init__(self, epoch_s: float | None = None) -> None:
        if epoch_s is None:
            epoch_s = time.time() - asyncio.get_running_loop().time()
        self.epoch_s = epoch_s

    def now_s(self) -> float:
        """Return the wall time, in seconds since the epoch."""
        return self.epoch_s + asyncio.get_running_loop().time()

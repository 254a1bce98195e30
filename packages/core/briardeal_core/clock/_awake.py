"""Time that goes on while the machine is suspended."""

from __future__ import annotations

import time

from briardeal_core.clock._loop import loop_time


def suspended_s() -> float:
    """Return how long the machine has been suspended since it was started, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def awake_time() -> float:
    """Return the time on the loop's clock plus all suspensions, in seconds.

    A right that lapses is measured with it: the loop's clock stands still during a suspension,
    and others go by their own.
    """
    return loop_time() + suspended_s()

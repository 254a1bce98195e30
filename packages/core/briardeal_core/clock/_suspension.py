"""A clock that also advances while the machine is suspended."""

from __future__ import annotations

import time

from briardeal_core.clock._loop import loop_time


def suspended_s() -> float:
    """Return the total time for which the machine has been suspended since boot, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)


def boottime_s() -> float:
    """Return the time on the loop's clock plus all suspensions, in seconds.

    On a real event loop it equals the system clock CLOCK_BOOTTIME; tests can advance it.
    Leases are measured with this clock: the loop's clock stops during a suspension, while other
    machines continue to count the lease on their own clocks.
    """
    return loop_time() + suspended_s()

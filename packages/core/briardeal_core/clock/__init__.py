"""Clocks: the event loop's, one that includes suspensions, and wall time."""

from briardeal_core.clock._loop import loop_time
from briardeal_core.clock._suspension import boottime_s, suspended_s
from briardeal_core.clock._wall import Clock, WallClock

__all__ = ["Clock", "WallClock", "boottime_s", "loop_time", "suspended_s"]

"""Clocks: the event loop's, one that includes suspensions, and wall time."""

from briardeal_core.clock._awake import awake_time, suspended_s
from briardeal_core.clock._loop import loop_time
from briardeal_core.clock._wall import Clock, WallClock

__all__ = ["Clock", "WallClock", "awake_time", "loop_time", "suspended_s"]

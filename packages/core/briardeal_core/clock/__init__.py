"""The clock of the event loop, and wall time that follows it."""

from briardeal_core.clock._loop import loop_time
from briardeal_core.clock._wall import Clock, WallClock

__all__ = ["Clock", "WallClock", "loop_time"]

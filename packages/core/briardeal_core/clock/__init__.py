"""Wall time that follows the clock of the event loop."""

from briardeal_core.clock._wall import Clock, WallClock

__all__ = ["Clock", "WallClock"]

"""The end of a process: on a signal, or when its service has crashed."""

from briardeal_core.processes._end import wait_for_end

__all__ = ["wait_for_end"]

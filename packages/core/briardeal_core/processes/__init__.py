"""The end of a process: on a signal, or when its service has crashed."""

from briardeal_core.processes._shutdown import wait_for_shutdown

__all__ = ["wait_for_shutdown"]

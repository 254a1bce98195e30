"""Shutdown of a process on a signal or after a crash of its service."""

from briardeal_core.processes._shutdown import wait_for_shutdown

__all__ = ["wait_for_shutdown"]

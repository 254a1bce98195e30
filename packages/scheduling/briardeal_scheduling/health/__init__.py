"""Tracking of failing VMs and failing jobs."""

from briardeal_scheduling.health._failure_tracker import FailureTracker, WorkerHealth

__all__ = ["FailureTracker", "WorkerHealth"]

"""Evidence on which VMs, and which jobs, fail."""

from briardeal_scheduling.health._failure_tracker import FailureTracker, WorkerHealth

__all__ = ["FailureTracker", "WorkerHealth"]

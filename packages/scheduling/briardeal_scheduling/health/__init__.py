"""Evidence on which VMs, and which jobs, fail."""

from briardeal_scheduling.health._evidence import Evidence, WorkerHealth

__all__ = ["Evidence", "WorkerHealth"]

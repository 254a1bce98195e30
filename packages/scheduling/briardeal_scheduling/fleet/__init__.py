"""Worker VMs, the jobs on them, and indexes of their free capacity."""

from briardeal_scheduling.fleet._fleet import Fleet
from briardeal_scheduling.fleet._index import CapacityIndex
from briardeal_scheduling.fleet._worker import TopologyGroup, Worker, groups_of

__all__ = ["CapacityIndex", "Fleet", "TopologyGroup", "Worker", "groups_of"]

"""The worker VMs, what runs on them, and where room is left."""

from briardeal_scheduling.fleet._fleet import Fleet
from briardeal_scheduling.fleet._index import CapacityIndex
from briardeal_scheduling.fleet._worker import TopologyGroup, Worker, groups_of

__all__ = ["CapacityIndex", "Fleet", "TopologyGroup", "Worker", "groups_of"]

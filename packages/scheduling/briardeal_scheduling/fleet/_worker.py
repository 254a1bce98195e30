"""A worker VM and the load on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Adjacency

if TYPE_CHECKING:
    from briardeal_core.jobs import WorkerShape

CORES_PER_TASK = 4
"""Cores of a VM for each task without accelerators."""

DEFAULT_TASK_SLOTS = 8
"""Slots for tasks without accelerators on a VM that doesn't report its cores."""


@attrs.frozen
class TopologyGroup:
    """A rack, a failure domain or a region.

    Parameters
    ----------
    adjacency
        Whether the group is a rack, a failure domain or a region.
    path
        Region, failure domain and rack, down to the adjacency, joined by slashes.
    """

    adjacency: Adjacency
    path: str


@attrs.define(eq=False)
class Worker:
    """A worker VM.

    Attributes
    ----------
    tasks
        Accelerators held by each job that runs or starts here.
    pending
        Accelerators assigned to jobs that wait until other jobs have left.
    leaving
        Accelerators held by jobs that were preempted or cancelled.
    slots_used
        Tasks without accelerators.
    booked
        Accelerators booked for guarantees, in use or not.
    pinned
        Accelerators held by pinned jobs: these can't be preempted and run outside any guarantee.
    accelerators_used
        Accelerators held by all jobs that run or start here.
    usable
        Whether new tasks may be placed here.
    """

    shape: WorkerShape
    tasks: dict[str, int] = attrs.field(factory=dict)
    pending: int = 0
    leaving: int = 0
    slots_used: int = 0
    booked: int = 0
    pinned: int = 0
    accelerators_used: int = 0
    usable: bool = True

    @property
    def worker_id(self) -> str:
        """Name of the VM."""
        return self.shape.worker_id

    @property
    def accelerators(self) -> int:
        """Accelerators of the VM."""
        return self.shape.accelerators

    @property
    def slots(self) -> int:
        """Slots of the VM for tasks without accelerators."""
        return self.shape.cores // CORES_PER_TASK if self.shape.cores else DEFAULT_TASK_SLOTS

    @property
    def free_accelerators(self) -> int:
        """Free accelerators; negative while jobs wait here for others to leave."""
        return self.shape.accelerators - self.accelerators_used - self.pending

    @property
    def free_after_stops(self) -> int:
        """Accelerators that are free once all preempted and cancelled jobs have left."""
        return self.free_accelerators + self.leaving

    @property
    def unbooked(self) -> int:
        """Accelerators that are neither booked nor held by pinned jobs."""
        return self.shape.accelerators - self.booked - self.pinned


def groups_of(shape: WorkerShape) -> dict[Adjacency, TopologyGroup]:
    """Return the rack, failure domain and region of a VM."""
    domain = f"{shape.region}/{shape.failure_domain}"
    return {
        Adjacency.RACK: TopologyGroup(Adjacency.RACK, f"{domain}/{shape.rack}"),
        Adjacency.FAILURE_DOMAIN: TopologyGroup(Adjacency.FAILURE_DOMAIN, domain),
        Adjacency.REGION: TopologyGroup(Adjacency.REGION, shape.region),
    }

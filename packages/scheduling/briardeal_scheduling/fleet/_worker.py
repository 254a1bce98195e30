"""One worker VM and what it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Adjacency

if TYPE_CHECKING:
    from briardeal_core.jobs import WorkerShape

CORES_PER_TASK = 4
"""Cores set aside for each task without accelerators."""

DEFAULT_TASK_SLOTS = 8
"""Tasks without accelerators on a VM that doesn't tell its cores."""


@attrs.frozen
class TopologyGroup:
    """VMs that are close together.

    Parameters
    ----------
    adjacency
        How close.
    path
        Region, failure domain and rack, as far as the adjacency goes.
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
    held
        Accelerators kept for jobs that wait until others have left.
    leaving
        Accelerators held by jobs that were told to leave.
    slots_used
        Tasks without accelerators.
    booked
        Accelerators set aside for guarantees, in use or not.
    pinned
        Accelerators held by work that can't be preempted and runs outside any guarantee.
    accelerators_used
        Accelerators held by all that runs or starts here.
    usable
        Whether new work may come here.
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
        """Tasks without accelerators that the VM takes."""
        return self.shape.cores // CORES_PER_TASK if self.shape.cores else DEFAULT_TASK_SLOTS

    @property
    def free_accelerators(self) -> int:
        """Free accelerators, below zero while jobs wait here for others to leave."""
        return self.shape.accelerators - self.accelerators_used - self.pending

    @property
    def free_after_stops(self) -> int:
        """Accelerators that are free once all that were told to leave have left."""
        return self.free_accelerators + self.leaving

    @property
    def unbooked(self) -> int:
        """Accelerators that neither a guarantee nor pinned work takes."""
        return self.shape.accelerators - self.booked - self.pinned


def groups_of(shape: WorkerShape) -> dict[Adjacency, TopologyGroup]:
    """Return the groups that a VM belongs to."""
    domain = f"{shape.region}/{shape.failure_domain}"
    return {
        Adjacency.RACK: TopologyGroup(Adjacency.RACK, f"{domain}/{shape.rack}"),
        Adjacency.FAILURE_DOMAIN: TopologyGroup(Adjacency.FAILURE_DOMAIN, domain),
        Adjacency.REGION: TopologyGroup(Adjacency.REGION, shape.region),
    }

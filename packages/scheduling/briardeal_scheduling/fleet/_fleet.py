"""All worker VMs and the indexes of their capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling.fleet._index import CapacityIndex
from briardeal_scheduling.fleet._worker import Worker, groups_of

if TYPE_CHECKING:
    from briardeal_core.configuration import Adjacency
    from briardeal_core.jobs import WorkerShape
    from briardeal_scheduling.decisions import Placement
    from briardeal_scheduling.fleet._worker import TopologyGroup


@attrs.define
class Fleet:
    """The worker VMs that are up.

    Attributes
    ----------
    free
        Free accelerators of each VM.
    free_unbooked
        Free accelerators of each VM that pinned jobs may use, since no guarantee has booked them.
    spare
        Accelerators of each VM that pinned jobs don't hold; 0 for VMs with bookings or not usable.
    slots
        Free slots of each VM for tasks without accelerators.
    lost_shapes
        Shapes of lost VMs, which may come back.
    shapes_version
        Number that changes when a VM comes up that is new or has another shape than before.
    jobs_on_missing
        Jobs that occupy VMs which are not up, by VM.
    """

    workers: dict[str, Worker] = attrs.field(factory=dict)
    groups: dict[str, dict[Adjacency, TopologyGroup]] = attrs.field(factory=dict)
    free: CapacityIndex = attrs.field(factory=CapacityIndex)
    free_unbooked: CapacityIndex = attrs.field(factory=CapacityIndex)
    spare: CapacityIndex = attrs.field(factory=CapacityIndex)
    slots: CapacityIndex = attrs.field(factory=CapacityIndex)
    lost_shapes: dict[str, WorkerShape] = attrs.field(factory=dict)
    shapes_version: int = 0
    jobs_on_missing: dict[str, set[str]] = attrs.field(factory=dict)

    def add(self, shape: WorkerShape) -> None:
        """Add a VM that came up."""
        self.workers[shape.worker_id] = Worker(shape)
        self.groups[shape.worker_id] = groups_of(shape)
        self.shapes_version += self.lost_shapes.pop(shape.worker_id, None) != shape
        self.refresh(shape.worker_id)

    def remove(self, worker_id: str) -> None:
        """Remove a lost VM."""
        worker = self.workers.pop(worker_id)
        self.lost_shapes[worker_id] = worker.shape
        groups = list(self.groups.pop(worker_id).values())
        for index in (self.free, self.free_unbooked, self.spare, self.slots):
            index.remove(worker_id, groups)

    def refresh(self, worker_id: str) -> None:
        """Update the indexes after a change of a VM."""
        worker = self.workers[worker_id]
        groups = list(self.groups[worker_id].values())
        free = worker.free_accelerators if worker.usable else 0
        self.free.set(worker_id, groups, free)
        self.free_unbooked.set(worker_id, groups, min(free, worker.unbooked))
        spare = worker.usable and not worker.booked
        self.spare.set(worker_id, groups, worker.unbooked if spare else 0)
        self.slots.set(worker_id, groups, worker.slots - worker.slots_used if worker.usable else 0)

    def occupy(self, job_id: str, placement: Placement, pinned: bool) -> None:
        """Count the tasks of a job on their VMs."""
        self._update_tasks(job_id, placement, 1, pinned)

    def vacate(self, job_id: str, placement: Placement, pinned: bool) -> None:
        """Remove the tasks of a job from those of its VMs that are still up."""
        self._update_tasks(job_id, placement, -1, pinned)

    def count_pending(self, placement: Placement, sign: int = 1) -> None:
        """Add, or with sign -1 remove, accelerators assigned to a job in phase `RECLAIMING`."""
        for worker_id in placement.workers:
            if worker_id in self.workers:
                self.workers[worker_id].pending += sign * placement.accelerators
                self.refresh(worker_id)

    def count_pinned(self, placement: Placement, sign: int = 1) -> None:
        """Add, or with sign -1 remove, accelerators of a pinned job."""
        for worker_id in placement.workers:
            if worker_id in self.workers:
                self.workers[worker_id].pinned += sign * placement.accelerators
                self.refresh(worker_id)

    def set_usable(self, worker_id: str, usable: bool) -> None:
        """Set whether new tasks may be placed on a VM."""
        if worker_id in self.workers:
            self.workers[worker_id].usable = usable
            self.refresh(worker_id)

    def count_leaving(self, placement: Placement, sign: int = 1) -> None:
        """Add, or with sign -1 remove, accelerators of a job that was preempted or cancelled."""
        for worker_id in placement.workers:
            if worker_id in self.workers:
                self.workers[worker_id].leaving += sign * placement.accelerators

    def members(self, group: TopologyGroup) -> list[str]:
        """Return the VMs of a group."""
        buckets = self.free.buckets.get(group, {})
        return [worker_id for bucket in buckets.values() for worker_id in bucket]

    def _update_tasks(self, job_id: str, placement: Placement, sign: int, pinned: bool) -> None:
        for worker_id in placement.workers:
            worker = self.workers.get(worker_id)
            if worker is None:
                self._update_missing(worker_id, job_id, sign)
                continue
            if sign > 0:
                worker.tasks[job_id] = placement.accelerators
            elif worker.tasks.pop(job_id, None) is None:
                continue
            worker.accelerators_used += sign * placement.accelerators
            worker.slots_used += sign * (placement.accelerators == 0)
            worker.pinned += sign * placement.accelerators * pinned
            self.refresh(worker_id)

    def _update_missing(self, worker_id: str, job_id: str, sign: int) -> None:
        if sign > 0:
            self.jobs_on_missing.setdefault(worker_id, set()).add(job_id)
            return
        jobs = self.jobs_on_missing.get(worker_id, set())
        jobs.discard(job_id)
        if not jobs:
            self.jobs_on_missing.pop(worker_id, None)

"""Best-fit choice of VMs by free capacity and rack."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.fleet import groups_of

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling.fleet import CapacityIndex, Fleet, TopologyGroup

CANDIDATE_LIMIT = 64
"""Most VMs of equal free capacity, besides those needed, that are compared by load and rack."""

ADJACENCY_ORDER = [Adjacency.RACK, Adjacency.FAILURE_DOMAIN, Adjacency.REGION]


@attrs.frozen
class ResourceDemand:
    """Capacity that a job needs.

    Parameters
    ----------
    tasks
        Number of VMs.
    per_vm
        Accelerators needed on each VM, or 1 for the task slot of a job without accelerators.
    adjacency
        How close together the VMs must be.
    """

    tasks: int
    per_vm: int
    adjacency: Adjacency

    @classmethod
    def from_request(cls, request: JobRequest) -> ResourceDemand:
        """Return the demand of a job."""
        return cls(request.tasks, request.accelerators_per_task or 1, request.adjacency)


def choose_workers(
    fleet: Fleet, index: CapacityIndex, need: ResourceDemand, avoid: Container[str] = frozenset()
) -> list[str] | None:
    """Return the VMs that fit a job best.

    Parameters
    ----------
    fleet, index
        The VMs, and the index of the capacity that the job may use.
    need
        The demand of the job.
    avoid
        VMs that it must not use.

    Returns
    -------
    list or None
        One VM for each task; `None` if no group has enough of them.
    """
    for adjacency in _adjacencies_to_try(need):
        groups = [
            group
            for group in index.groups_by_adjacency.get(adjacency, ())
            if index.count(group, need.per_vm) >= need.tasks
        ]
        groups.sort(key=lambda group: (index.totals[group], group.path))
        for group in groups:
            chosen = _choose_in_group(fleet, index, group, need, avoid)
            if chosen is not None:
                return chosen
    return None


def has_capacity(index: CapacityIndex, need: ResourceDemand) -> bool:
    """Return whether some group has enough VMs with free capacity, reserved or not."""
    groups = index.groups_by_adjacency.get(need.adjacency, ())
    return any(index.count(group, need.per_vm) >= need.tasks for group in groups)


def fits_idle_vms(shapes: Iterable[WorkerShape], request: JobRequest) -> bool:
    """Return whether a job would fit on the given VMs if nothing else ran."""
    counts: dict[TopologyGroup, int] = {}
    for shape in shapes:
        if shape.accelerators >= request.accelerators_per_task:
            group = groups_of(shape)[request.adjacency]
            counts[group] = counts.get(group, 0) + 1
    return any(count >= request.tasks for count in counts.values())


def _adjacencies_to_try(need: ResourceDemand) -> list[Adjacency]:
    """Return the adjacencies to try, the closest first; a gang stays in one rack if it can."""
    widest_index = ADJACENCY_ORDER.index(need.adjacency)
    if need.tasks == 1:
        return [need.adjacency]
    return ADJACENCY_ORDER[: widest_index + 1]


def _choose_in_group(
    fleet: Fleet,
    index: CapacityIndex,
    group: TopologyGroup,
    need: ResourceDemand,
    avoid: Container[str],
) -> list[str] | None:
    chosen: list[str] = []
    for capacity, bucket in index.ascending(group, need.per_vm):
        missing = need.tasks - len(chosen)
        allowed = []
        for worker_id in bucket:
            index.examined += 1
            if worker_id not in avoid:
                allowed.append((_emptiness(fleet, index, worker_id, capacity), worker_id))
            if len(allowed) >= missing + CANDIDATE_LIMIT:
                break
        best = heapq.nsmallest(missing, allowed)
        chosen.extend(worker_id for _, worker_id in best)
        if len(chosen) == need.tasks:
            return chosen
    return None


def _emptiness(
    fleet: Fleet, index: CapacityIndex, worker_id: str, capacity: int
) -> tuple[bool, int]:
    """Return a sort key that puts idle VMs last and VMs in racks with little capacity first.

    This keeps idle VMs and racks without load free for large jobs.
    """
    worker = fleet.workers[worker_id]
    rack = fleet.groups[worker_id][Adjacency.RACK]
    return capacity == worker.accelerators, index.totals[rack]

"""The choice of running work that makes room at least lost work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from briardeal_scheduling.fleet import Fleet
    from briardeal_scheduling.placement._fit import ResourceDemand


@attrs.frozen
class Opening:
    """VMs for a job, and what must leave them first.

    Parameters
    ----------
    workers
        The VMs.
    victims
        Jobs that must leave; empty where all is free or about to be.
    cost
        What is lost by it, in accelerator seconds.
    """

    workers: list[str]
    victims: frozenset[str]
    cost: float


def open_room(
    fleet: Fleet,
    workers: Iterable[str],
    tasks: int,
    number: int,
    cost_of: Callable[[str], float | None],
) -> Opening | None:
    """Choose VMs among the given ones.

    Parameters
    ----------
    fleet, workers
        The VMs to choose from.
    tasks, number
        How many, and the accelerators needed on each.
    cost_of
        What it costs to preempt a job, in accelerator seconds; `None` where that is not allowed.
    """
    options = []
    for worker_id in workers:
        found = _clear(fleet, worker_id, number, cost_of)
        if found is not None:
            free = fleet.workers[worker_id].balance >= number
            options.append((found[0], not free, worker_id, found[1]))
    if len(options) < tasks:
        return None
    options.sort()
    chosen = options[:tasks]
    victims = frozenset(job_id for *_, leaving in chosen for job_id in leaving)
    cost = sum(cost_of(job_id) or 0.0 for job_id in victims)
    return Opening([worker_id for _, _, worker_id, _ in chosen], victims, cost)


def open_room_anywhere(
    fleet: Fleet,
    need: ResourceDemand,
    cost_of: Callable[[str], float | None],
    avoid: Container[str] = frozenset(),
    unbooked: bool = False,
) -> Opening | None:
    """Choose VMs in the group where it costs least.

    Parameters
    ----------
    fleet, need, cost_of
        As for `open_room`.
    avoid
        VMs that the job must not have.
    unbooked
        Whether the job must stay out of what is set aside for guarantees.
    """
    best: Opening | None = None
    for group in fleet.free.by_adjacency.get(need.adjacency, ()):
        members = [
            worker_id
            for worker_id in fleet.members(group)
            if worker_id not in avoid
            and fleet.workers[worker_id].usable
            and (not unbooked or fleet.workers[worker_id].unbooked >= need.per_vm)
        ]
        if len(members) < need.tasks:
            continue
        fleet.free.examined += len(members)
        found = open_room(fleet, members, need.tasks, need.per_vm, cost_of)
        if found and (best is None or found.cost < best.cost):
            best = found
    return best


def _clear(
    fleet: Fleet, worker_id: str, number: int, cost_of: Callable[[str], float | None]
) -> tuple[float, list[str]] | None:
    """Return the cost and the jobs to preempt so that a VM has the needed accelerators."""
    worker = fleet.workers[worker_id]
    if worker.accelerators - worker.pinned < number:
        return None
    missing = number - worker.coming
    if missing <= 0:
        return 0.0, []
    options = []
    for job_id, accelerators in worker.tasks.items():
        cost = cost_of(job_id) if accelerators else None
        if cost is not None:
            options.append((cost / accelerators, job_id, accelerators, cost))
    options.sort()
    total = 0.0
    leaving = []
    for _, job_id, accelerators, cost in options:
        if missing <= 0:
            break
        leaving.append(job_id)
        total += cost
        missing -= accelerators
    return (total, leaving) if missing <= 0 else None

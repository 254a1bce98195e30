"""The choice of running work that makes room at least lost work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from briardeal_scheduling.fleet import Fleet
    from briardeal_scheduling.placement._fit import ResourceDemand


@attrs.frozen
class PreemptionPlan:
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


def plan_preemptions(
    fleet: Fleet,
    workers: Iterable[str],
    tasks: int,
    needed: int,
    preemption_cost: Callable[[str], float | None],
) -> PreemptionPlan | None:
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
        found = _choose_victims(fleet, worker_id, needed, preemption_cost)
        if found is not None:
            free = fleet.workers[worker_id].free_accelerators >= needed
            options.append((found[0], not free, worker_id, found[1]))
    if len(options) < tasks:
        return None
    options.sort()
    chosen = options[:tasks]
    victims = frozenset(job_id for *_, vm_victims in chosen for job_id in vm_victims)
    cost = sum(preemption_cost(job_id) or 0.0 for job_id in victims)
    return PreemptionPlan([worker_id for _, _, worker_id, _ in chosen], victims, cost)


def plan_preemptions_in_any_group(
    fleet: Fleet,
    need: ResourceDemand,
    preemption_cost: Callable[[str], float | None],
    avoid: Container[str] = frozenset(),
    unbooked: bool = False,
) -> PreemptionPlan | None:
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
    best: PreemptionPlan | None = None
    for group in fleet.free.groups_by_adjacency.get(need.adjacency, ()):
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
        found = plan_preemptions(fleet, members, need.tasks, need.per_vm, preemption_cost)
        if found and (best is None or found.cost < best.cost):
            best = found
    return best


def _choose_victims(
    fleet: Fleet, worker_id: str, needed: int, preemption_cost: Callable[[str], float | None]
) -> tuple[float, list[str]] | None:
    """Return the cost and the jobs to preempt so that a VM has the needed accelerators."""
    worker = fleet.workers[worker_id]
    if worker.accelerators - worker.pinned < needed:
        return None
    missing = needed - worker.free_after_stops
    if missing <= 0:
        return 0.0, []
    options = []
    for job_id, accelerators in worker.tasks.items():
        cost = preemption_cost(job_id) if accelerators else None
        if cost is not None:
            options.append((cost / accelerators, job_id, accelerators, cost))
    options.sort()
    total = 0.0
    vm_victims = []
    for _, job_id, accelerators, cost in options:
        if missing <= 0:
            break
        vm_victims.append(job_id)
        total += cost
        missing -= accelerators
    return (total, vm_victims) if missing <= 0 else None

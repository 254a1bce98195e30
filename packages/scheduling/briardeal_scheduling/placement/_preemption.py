"""Choice of the running jobs to preempt so that least work is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from briardeal_scheduling.fleet import Fleet
    from briardeal_scheduling.placement._fit import ResourceDemand


@attrs.frozen
class PreemptionPlan:
    """VMs for a job, and the jobs to preempt there.

    Parameters
    ----------
    workers
        The VMs.
    victims
        Jobs to preempt; empty if the capacity is free or other preempted jobs will free it.
    cost
        Cost of the preemptions, in accelerator seconds.
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
    """Choose the VMs with the least cost of preemption among the given ones.

    Parameters
    ----------
    fleet, workers
        The fleet, and the names of the VMs to choose from.
    tasks, needed
        Number of VMs, and accelerators needed on each.
    preemption_cost
        Returns the cost of preempting a job, in accelerator seconds; `None` if it is forbidden.

    Returns
    -------
    PreemptionPlan or None
        `None` if too few VMs can be cleared.
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
    """Choose VMs in the group with the least cost of preemption.

    Parameters
    ----------
    fleet, need, preemption_cost
        The fleet, the demand of the job, and the cost as for `plan_preemptions`.
    avoid
        VMs that the job must not use.
    unbooked
        Whether the job must not use capacity that is booked for guarantees.

    Returns
    -------
    PreemptionPlan or None
        `None` if no group has enough VMs that can be cleared.
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
    """Return the cost and the jobs to preempt on one VM, the least cost per accelerator first."""
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

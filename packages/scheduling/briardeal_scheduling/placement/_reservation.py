"""Reservation of VMs for a large job at the time when they are expected to be free."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_scheduling.queue import Reservation

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from briardeal_scheduling.fleet import Fleet
    from briardeal_scheduling.placement._fit import ResourceDemand


def find_reservation(
    fleet: Fleet,
    need: ResourceDemand,
    expected_end_of: Callable[[str], float],
    now_s: float,
    avoid: Container[str] = frozenset(),
    unbooked: bool = False,
) -> Reservation | None:
    """Return a reservation in the group where enough VMs are expected to be free first.

    Parameters
    ----------
    fleet, need
        The VMs, and the demand of the job.
    expected_end_of
        Returns when a running job is expected to end, in seconds.
    now_s
        Current time, in seconds.
    avoid
        VMs that the job must not use or that are reserved for others.
    unbooked
        Whether the job must not use capacity that is booked for guarantees.

    Returns
    -------
    Reservation or None
        `None` if no group has enough VMs with an expected end.
    """
    best: Reservation | None = None
    end_times_s: dict[str, float] = {}
    for group in fleet.free.groups_by_adjacency.get(need.adjacency, ()):
        free_times_s = []
        for worker_id in fleet.members(group):
            worker = fleet.workers[worker_id]
            fleet.free.examined += 1
            if worker_id in avoid or not worker.usable or worker.accelerators < need.per_vm:
                continue
            if unbooked and worker.accelerators - worker.booked < need.per_vm:
                continue
            free_times_s.append(
                (
                    _free_at_s(fleet, worker_id, need.per_vm, expected_end_of, now_s, end_times_s),
                    worker_id,
                )
            )
        if len(free_times_s) < need.tasks:
            continue
        free_times_s.sort()
        free_at_s = free_times_s[need.tasks - 1][0]
        if math.isfinite(free_at_s) and (best is None or free_at_s < best.free_at_s):
            chosen = frozenset(worker_id for _, worker_id in free_times_s[: need.tasks])
            best = Reservation(chosen, group.path, free_at_s, now_s)
    return best


def _free_at_s(
    fleet: Fleet,
    worker_id: str,
    needed: int,
    expected_end_of: Callable[[str], float],
    now_s: float,
    end_times_s: dict[str, float],
) -> float:
    worker = fleet.workers[worker_id]
    missing = needed - worker.free_accelerators
    if missing <= 0:
        return now_s
    tasks = []
    for job_id, accelerators in worker.tasks.items():
        if job_id not in end_times_s:
            end_times_s[job_id] = expected_end_of(job_id)
        tasks.append((end_times_s[job_id], accelerators))
    tasks.sort()
    for end_s, accelerators in tasks:
        missing -= accelerators
        if missing <= 0:
            return end_s
    return math.inf

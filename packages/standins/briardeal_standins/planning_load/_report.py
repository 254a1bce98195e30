"""What became of the jobs of each class under a load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from briardeal_standins.planning_load._simulation import Simulation
from briardeal_standins.planning_load._workload import CONFIGURATION, create_workload

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from briardeal_standins.planning_load._simulation import JobResult
    from briardeal_workflow.planning import ActiveJob, JobOrder

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no use to its caller."""

STARTED_S = 1_000_000.0


class EarliestObjective:
    """Orders jobs by their objectives alone; a baseline for other orders."""

    def sort(
        self, jobs: Collection[ActiveJob], capacity_cores: Mapping[str, float], wall_s: float
    ) -> list[ActiveJob]:
        """Return the jobs, the first to place first."""

        def key(active_job: ActiveJob) -> tuple[int, bool, float, str]:
            due_in_s = active_job.due_in_s(wall_s)
            is_useless = due_in_s < (1.0 - LATE_FACTOR) * active_job.objective_s()
            return active_job.queue.priority, is_useless, due_in_s, active_job.job.job_id

        return sorted(jobs, key=key)


@attrs.define
class ClassReport:
    """What became of the jobs of one class.

    Attributes
    ----------
    jobs, in_time, late
        Number of jobs, of those completed within their objective, and of those completed later
        but within three times their objective.
    starts, stops
        Number of task starts, and of stopped tasks.
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    starts: int = 0
    stops: int = 0

    def add(self, result: JobResult) -> None:
        """Add the result of one job."""
        self.jobs += 1
        self.in_time += result.took_s <= result.objective_s
        self.late += result.objective_s < result.took_s <= LATE_FACTOR * result.objective_s
        self.starts += result.starts
        self.stops += result.stops


def simulate(
    job_order: JobOrder | None,
    seeds: Iterable[int],
    load: float,
    vms: int = 11,
    duration_s: float = 40.0,
    until_s: float = 75.0,
) -> dict[str, ClassReport]:
    """Return what became of the jobs of each queue, with all seeds pooled.

    Parameters
    ----------
    job_order
        Order in which jobs get free capacity; that of the planner by default.
    seeds
        Seeds of the workloads.
    load
        Offered work as a multiple of the capacity.
    vms, duration_s, until_s
        Number of VMs, time over which jobs are submitted, and end of the simulation, in seconds.
    """
    reports = {name: ClassReport() for name in CONFIGURATION.queues_by_name}
    for seed in seeds:
        workload = create_workload(random.Random(seed), vms, load, duration_s, STARTED_S)
        simulation = Simulation(vms, workload, STARTED_S, job_order)
        simulation.run(until_s)
        for result in simulation.results.values():
            reports[result.offered.job.queue].add(result)
    return reports

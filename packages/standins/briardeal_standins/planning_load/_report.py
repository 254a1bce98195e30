"""What became of the jobs of each class under a load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from briardeal_standins.planning_load._simulation import Simulation
from briardeal_standins.planning_load._workload import (
    CONFIGURATION,
    SMALL_FLEET,
    create_workload,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from briardeal_standins.planning_load._simulation import JobResult
    from briardeal_standins.planning_load._workload import Fleet
    from briardeal_workflow.planning import ActiveJob, JobOrder

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is of no use to its caller."""

STARTED_S = 1_000_000.0


class EarliestObjective:
    """Orders jobs by their objectives alone; a baseline for other orders."""

    equal_turn_s = 0.0

    def sort(
        self, jobs: Collection[ActiveJob], capacity_cores: Mapping[str, float], wall_s: float
    ) -> list[ActiveJob]:
        """Return the jobs, the first to place first."""

        def key(active_job: ActiveJob) -> tuple[int, bool, float, str]:
            turn = self.turn(active_job, capacity_cores, wall_s)
            return active_job.queue.priority, *turn, active_job.job.job_id

        return sorted(jobs, key=key)

    def turn(
        self, active_job: ActiveJob, capacity_cores: Mapping[str, float], wall_s: float
    ) -> tuple[bool, float]:
        """Return whether a job is of no use any more, and the time left until its objective."""
        due_in_s = active_job.due_in_s(wall_s)
        return due_in_s < (1.0 - LATE_FACTOR) * active_job.objective_s(), wall_s + due_in_s


@attrs.define
class ClassReport:
    """What became of the jobs of one class.

    Attributes
    ----------
    jobs, in_time, late
        Number of jobs, of those completed within their objective, and of those completed later
        but within three times their objective.
    starts, stops, early_stops
        Number of task starts, of stopped tasks, and of tasks stopped right after their start.
    lost_core_s
        Work of stopped tasks that no checkpoint holds, in core-seconds.
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    starts: int = 0
    stops: int = 0
    early_stops: int = 0
    lost_core_s: float = 0.0

    def add(self, result: JobResult) -> None:
        """Add the result of one job."""
        self.jobs += 1
        self.in_time += result.took_s <= result.objective_s
        self.late += result.objective_s < result.took_s <= LATE_FACTOR * result.objective_s
        self.starts += result.starts
        self.stops += result.stops
        self.early_stops += result.early_stops
        self.lost_core_s += result.lost_core_s


def simulate(
    job_order: JobOrder | None,
    seeds: Iterable[int],
    load: float,
    fleet: Fleet = SMALL_FLEET,
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
    fleet
        VMs, and classes of the jobs.
    duration_s, until_s
        Time over which jobs are submitted, and end of the simulation, in seconds.
    """
    reports = {name: ClassReport() for name in CONFIGURATION.queues_by_name}
    for seed in seeds:
        rng = random.Random(seed)
        workload = create_workload(rng, fleet, load, duration_s, STARTED_S)
        simulation = Simulation(fleet, workload, STARTED_S, job_order)
        simulation.run(until_s)
        for result in simulation.results.values():
            reports[result.offered.job.queue].add(result)
    return reports

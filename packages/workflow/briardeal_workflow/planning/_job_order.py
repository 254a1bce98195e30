"""Order in which jobs get free capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from briardeal_workflow.planning._active_jobs import ActiveJob

LATE_FACTOR = 3.0
"""Multiple of its latency objective after which a gang without a schedule is assumed to be of no
use to its caller; it is placed after all other jobs of its priority."""

PASSING_SHARE = 1 / 16
"""Share of a service's capacity by which work left is converted to time. The smaller it is, the
more jobs are completed under overload, and the longer a wide job can be passed over."""


class JobOrder(Protocol):
    """Order in which jobs get free capacity.

    Attributes
    ----------
    equal_turn_s
        Difference of turns up to which a job may be placed before one whose turn comes first.
    """

    equal_turn_s: float

    def sort(
        self, jobs: Collection[ActiveJob], capacity_cores: Mapping[str, float], wall_s: float
    ) -> list[ActiveJob]:
        """Return the jobs, the first to place first.

        Parameters
        ----------
        jobs
            Unfinished jobs.
        capacity_cores
            Capacity of the VMs by service, in cores, with accelerators converted to cores.
        wall_s
            Current time, in seconds since 1970.
        """
        ...

    def turn(
        self, active_job: ActiveJob, capacity_cores: Mapping[str, float], wall_s: float
    ) -> tuple[bool, float]:
        """Return the place of a job among those of its priority; the lowest is placed first.

        It consists of whether the job is placed after all that can still be of use, and of a time
        in seconds since 1970.
        """
        ...


class LeastWorkFirst:
    """Orders the jobs of a class by the work that is left of them, and gangs by their objectives.

    If a class gets too little capacity for all of its jobs, the order of their objectives completes
    next to none of them: a wide job that can't be in time any more holds back those that could be.
    A job may be passed over by jobs accepted later only for as long as the rest of it would take on
    a small share of the capacity. Gangs need all of their capacity at once; smaller ones start
    beside a waiting one anyway, so that putting them first only makes wide gangs wait.
    """

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
        """Return the place of a job among those of its priority; the lowest is placed first."""
        if not active_job.divisible:
            due_s = active_job.accepted_s + active_job.objective_s()
            return is_too_late(active_job, wall_s), due_s
        share_cores = PASSING_SHARE * max(1.0, capacity_cores.get(active_job.job.service, 0.0))
        work_s = active_job.work_left_core_s(wall_s) / share_cores
        return False, active_job.accepted_s + work_s


def is_too_late(active_job: ActiveJob, wall_s: float) -> bool:
    """Return whether a job without a schedule has missed its objective by far."""
    objective_s = active_job.objective_s()
    return (
        wall_s > active_job.accepted_s + LATE_FACTOR * objective_s
        and not active_job.job.has_schedule
    )

"""Order of jobs that regards what each customer got against its guarantee."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._job_order import LATE_FACTOR, LeastWorkFirst, is_too_late

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._job_order import JobOrder

EQUAL_TURN_S = 1.0
"""Difference of turns up to which jobs of one queue count as equal: a task of the shortest usual
jobs runs four times as long, so that the later of two such jobs loses little."""

SERVICE_HALF_LIFE_S = 30.0
"""Time after which capacity that a customer had counts half: the run time of a few tasks of the
longest usual jobs, so that service long ago does not decide."""

MAX_STEP_S = 1.0
"""Longest time between two calls that counts as service; a planner that stood still has not served
anyone by that."""

FORGOTTEN_CORE_S = 1e-3
"""Service up to which a customer is forgotten; less than one core gets between two rounds, which
follow each other after 10 ms under load."""

MIN_GUARANTEE = 1.0
"""Guarantee by which the service of a customer without any is divided, in accelerators."""


class FairOrder:
    """Orders jobs like another order, with two exceptions, for callers that ask for too much.

    Jobs whose result is of no use any more, or would be if they started now, go behind all others
    of their priority: when twice the capacity is asked for, they hold what others need to be of
    use. Of jobs of one queue
    with turns that are about equal, that of the customer goes first who had the least capacity
    lately against its guarantee; in bursts, one customer's jobs would all go before those of
    another otherwise, by a few milliseconds.

    Parameters
    ----------
    guarantee_of
        Returns the accelerators guaranteed to a customer.
    inner
        Order to change.

    Attributes
    ----------
    served_core_s
        Capacity that customers had lately, in core-seconds, by queue and customer. A new owner
        begins anew, by what runs.
    """

    equal_turn_s = EQUAL_TURN_S

    def __init__(self, guarantee_of: Callable[[str], int], inner: JobOrder | None = None) -> None:
        self.guarantee_of = guarantee_of
        self.inner = LeastWorkFirst() if inner is None else inner
        self.served_core_s: dict[tuple[str, str], float] = {}
        self._updated_s: float | None = None

    def sort(
        self, jobs: Collection[ActiveJob], capacity_cores: Mapping[str, float], wall_s: float
    ) -> list[ActiveJob]:
        """Return the jobs, the first to place first."""
        self._record_service(jobs, wall_s)
        turns = {
            active_job.job.job_id: self.turn(active_job, capacity_cores, wall_s)
            for active_job in jobs
        }

        def key(active_job: ActiveJob) -> tuple[int, bool, float, str]:
            job_id = active_job.job.job_id
            return active_job.queue.priority, *turns[job_id], job_id

        ordered = sorted(jobs, key=key)
        self._sort_equal_jobs(ordered, turns)
        return ordered

    def turn(
        self, active_job: ActiveJob, capacity_cores: Mapping[str, float], wall_s: float
    ) -> tuple[bool, float]:
        """Return the place of a job among those of its priority; the lowest is placed first."""
        is_last, turn_s = self.inner.turn(active_job, capacity_cores, wall_s)
        return is_last or _is_useless(active_job, wall_s), turn_s

    def _sort_equal_jobs(
        self, ordered: list[ActiveJob], turns: Mapping[str, tuple[bool, float]]
    ) -> None:
        """Sort each run of jobs whose turns are about that of its first by service got."""
        shares: dict[tuple[str, str], float] = {}
        places: dict[tuple[int, bool, str], list[int]] = {}
        for place, active_job in enumerate(ordered):
            is_last, turn_s = turns[active_job.job.job_id]
            group = (active_job.queue.priority, is_last, active_job.queue.name)
            equal = places.setdefault(group, [])
            if equal and turn_s - turns[ordered[equal[0]].job.job_id][1] > EQUAL_TURN_S:
                self._sort_places(ordered, equal, shares)
                equal = places[group] = []
            equal.append(place)
        for equal in places.values():
            self._sort_places(ordered, equal, shares)

    def _sort_places(
        self,
        ordered: list[ActiveJob],
        places: list[int],
        shares: dict[tuple[str, str], float],
    ) -> None:
        """Sort the jobs at some places among these places; equal ones keep their order."""
        if len(places) < 2:
            return
        for place in places:
            customer = _customer_of(ordered[place])
            if customer not in shares:
                shares[customer] = self._share(customer)
        jobs = sorted(
            (ordered[place] for place in places), key=lambda each: shares[_customer_of(each)]
        )
        for place, active_job in zip(places, jobs, strict=True):
            ordered[place] = active_job

    def _share(self, customer: tuple[str, str]) -> float:
        """Return what a customer got in a queue, as a multiple of its guarantee."""
        guarantee = max(MIN_GUARANTEE, self.guarantee_of(customer[1]))
        return self.served_core_s.get(customer, 0.0) / guarantee

    def _record_service(self, jobs: Collection[ActiveJob], wall_s: float) -> None:
        """Add what runs since the last call, and let earlier service count less."""
        passed_s = 0.0 if self._updated_s is None else max(0.0, wall_s - self._updated_s)
        self._updated_s = wall_s
        kept = 0.5 ** (passed_s / SERVICE_HALF_LIFE_S)
        self.served_core_s = {
            customer: core_s * kept
            for customer, core_s in self.served_core_s.items()
            if core_s * kept > FORGOTTEN_CORE_S
        }
        counted_s = min(passed_s, MAX_STEP_S)
        for active_job in jobs:
            cores = sum(
                attempt.resources.core_equivalents
                for group in active_job.groups.values()
                if group.attempts
                for attempt in group.active_attempts()
                if attempt.phase is not AttemptPhase.STOPPING
            )
            if cores:
                customer = _customer_of(active_job)
                earlier_core_s = self.served_core_s.get(customer, 0.0)
                self.served_core_s[customer] = earlier_core_s + cores * counted_s


def _is_useless(active_job: ActiveJob, wall_s: float) -> bool:
    """Return whether the result of a job is of no use, or will be if its tasks start only now.

    Declared run times decide that, although they may be off: a job that goes behind others for
    them still gets the capacity that those leave.
    """
    if active_job.job.has_schedule:
        return False
    if is_too_late(active_job, wall_s):
        return True
    open_groups = [group for group in active_job.groups.values() if not group.complete]
    if not open_groups or any(any(group.active_attempts()) for group in open_groups):
        return False
    use_s = (LATE_FACTOR - 1.0) * active_job.objective_s()
    return active_job.slack_s(open_groups[0], wall_s) + use_s < 0


def _customer_of(active_job: ActiveJob) -> tuple[str, str]:
    """Return the queue and the customer of a job."""
    return active_job.queue.name, active_job.job.customer

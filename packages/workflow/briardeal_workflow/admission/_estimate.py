"""Estimate of when a job handed in now could end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.model import ACCELERATOR_CORES

if TYPE_CHECKING:
    from briardeal_workflow.admission._summary import ClassSummary, ServiceSummary
    from briardeal_workflow.model import Job

USE_FACTOR = 3.0
"""Multiple of its objective until which the result of a job is still of use."""

MIN_SAMPLES = 3.0
"""Number of jobs from which the run times of a class count as measured."""

SPREADS = 2.0
"""Standard deviations by which the optimistic estimate takes run times to be below the median; of
100 classes, the run times of two are shorter than that."""

GANG_SHARE = 0.5
"""Share of the waiting work of gangs that the optimistic estimate lets go before a job: while a
gang waits for all of its capacity, smaller jobs start beside it."""

MIN_RATE_SHARE = 0.5
"""Least share of the capacity that the expected estimate takes as the pace of work; the measured
one is lower while little work waited."""


@attrs.frozen
class Estimate:
    """When a job handed in now could end, in seconds from now.

    Parameters
    ----------
    optimistic_s
        End if all that is uncertain turns out well.
    expected_s
        Expected end.
    objective_s, limit_s
        End by which the job is in time, and by which its result is still of use.
    before_core_s
        Work that certainly goes before the job, in core-seconds.
    cores
        Largest capacity that the job and the work before it could get, in cores.
    ratio
        Measured run times of the job's class as a multiple of the declared ones.
    """

    optimistic_s: float
    expected_s: float
    objective_s: float
    limit_s: float
    before_core_s: float
    cores: float
    ratio: float

    @property
    def is_useless(self) -> bool:
        """Whether the job is of no use even if all that is uncertain turns out well."""
        return self.optimistic_s > self.limit_s

    @property
    def will_wait(self) -> bool:
        """Whether the job is expected to end after its objective."""
        return self.expected_s > self.objective_s


@attrs.frozen
class _Work:
    """Work before a job, in core-seconds, and the longest mean run time of a task of it."""

    core_s: float
    task_s: float
    accelerator_core_s: float = 0.0


def estimate_end(job: Job, service: ServiceSummary) -> Estimate | None:
    """Return when a job handed in now could end; `None` if that can't be estimated.

    Only work that is served before the job counts: all of higher priority, running work of its own,
    and of the waiting work of its own what the order of service puts first. Running work of lower
    priority is left out, as it may end or be stopped soon. By the time the last task before the job
    has started, others may be as far from their ends as a task is long, so one run time of a task
    is taken off the time that the work before takes.
    """
    if any(step.estimate_s <= 0 for step in job.steps) or service.cores <= 0:
        return None
    chain_s = declared_chain_s(job)
    priority = job.terms.priority
    held_cores = sum(each.held_cores for each in service.classes if each.priority <= priority)
    most_cores = max(service.cores, service.most_cores) - held_cores
    if most_cores <= 0:
        return None
    own = next((each for each in service.classes if each.priority == priority), None)
    turn_s = _turn_in_s(job, chain_s, service)
    objective_s = job.terms.stretch_limit * chain_s + job.terms.latency_target_s
    # The measured jobs may be of other customers, and its own declarations right.
    low = 0.0 if own is None else min(1.0, _low_factor(own, 1))
    before = _certain_work(service, priority, turn_s)
    before_s = _least_time_s(before.core_s, before.accelerator_core_s, most_cores, service)
    all_s = _least_time_s(
        before.core_s + low * declared_core_s(job),
        before.accelerator_core_s + low * _accelerator_core_s(job),
        most_cores,
        service,
    )
    starts_s = max(0.0, before_s - before.task_s)
    optimistic_s = max(starts_s + low * chain_s, all_s - before.task_s)
    likely = _likely_work(service, priority, turn_s)
    factor = _mean_factor(own)
    cores = max(1.0, service.cores - held_cores)
    rate = min(cores, max(MIN_RATE_SHARE * cores, sum(c.done_cores for c in service.classes)))
    starts_s = max(0.0, likely.core_s / rate - likely.task_s / 2)
    expected_s = starts_s + max(factor * chain_s, factor * declared_core_s(job) / rate)
    return Estimate(
        optimistic_s,
        max(optimistic_s, expected_s),
        objective_s,
        USE_FACTOR * objective_s,
        before.core_s,
        most_cores,
        1.0 if own is None or not own.samples else own.ratio,
    )


def declared_chain_s(job: Job) -> float:
    """Return the declared run time of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in job.steps:
        start_s = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(start_s + step.estimate_s)
    return max(ends)


def declared_core_s(job: Job) -> float:
    """Return the declared work of a job, in core-seconds."""
    return sum(step.tasks * step.estimate_s * step.task_cores for step in job.steps)


def _accelerator_core_s(job: Job) -> float:
    """Return the part of the declared work of a job that is on accelerators, in core-seconds."""
    return sum(
        step.tasks * step.estimate_s * ACCELERATOR_CORES * step.accelerators for step in job.steps
    )


def _least_time_s(
    core_s: float, accelerator_core_s: float, cores: float, service: ServiceSummary
) -> float:
    """Return the least time in which work can be done, in seconds.

    Accelerators are often all in use while half of the cores are not.
    """
    if not service.most_accelerator_cores:
        return core_s / cores
    return max(core_s / cores, accelerator_core_s / service.most_accelerator_cores)


def _turn_in_s(job: Job, chain_s: float, service: ServiceSummary) -> float:
    """Return the time of the job in the owner's order of service, in seconds from now."""
    if all(step.gang for step in job.steps):
        return job.terms.stretch_limit * chain_s + job.terms.latency_target_s
    return declared_core_s(job) / max(1.0, service.share_cores)


def _certain_work(service: ServiceSummary, priority: int, turn_s: float) -> _Work:
    """Return the least work that goes before a job, by the shortest run times in question."""
    core_s = accelerator_core_s = task_s = 0.0
    for each in service.classes:
        if each.priority > priority:
            continue
        # What is left of a class that has not been measured may be known by declarations only.
        if each.samples >= MIN_SAMPLES:
            core_s += each.running_core_s
            accelerator_core_s += each.running_accelerator_core_s
        bands = [
            band for band in each.waiting if each.priority < priority or band.last_in_s <= turn_s
        ]
        jobs = sum(band.jobs for band in bands)
        waiting_core_s = sum(band.core_s + GANG_SHARE * band.gang_core_s for band in bands)
        waiting_accelerator_core_s = sum(
            band.accelerator_core_s + GANG_SHARE * band.gang_accelerator_core_s for band in bands
        )
        factor = _low_factor(each, jobs)
        core_s += factor * waiting_core_s
        accelerator_core_s += factor * waiting_accelerator_core_s
        # Tasks of a class that has not been measured could be of any length.
        task_s = max(task_s, each.task_s * max(1.0, each.ratio))
    return _Work(core_s, task_s, accelerator_core_s)


def _likely_work(service: ServiceSummary, priority: int, turn_s: float) -> _Work:
    """Return the work that is expected to go before a job."""
    core_s = task_s = 0.0
    for each in service.classes:
        if each.priority > priority:
            continue
        waiting_core_s = 0.0
        first_in_s = -math.inf
        for band in each.waiting:
            if each.priority < priority or band.last_in_s <= turn_s:
                waiting_core_s += band.core_s + band.gang_core_s
            elif first_in_s <= turn_s:
                waiting_core_s += (band.core_s + band.gang_core_s) / 2
            first_in_s = band.last_in_s
        class_core_s = each.running_core_s + _mean_factor(each) * waiting_core_s
        core_s += class_core_s
        task_s = max(task_s, _mean_factor(each) * each.task_s)
    return _Work(core_s, task_s)


def _low_factor(work: ClassSummary, jobs: int) -> float:
    """Return the least factor in question between declared and real run times of some jobs.

    It is 0 for a class that has not been measured. Errors of independent jobs partly cancel out.
    """
    if work.samples < MIN_SAMPLES or not jobs:
        return 0.0
    # The median itself is known from a few jobs only.
    spread = work.spread * math.sqrt(1 / jobs + 1 / work.samples)
    return work.ratio * math.exp(-SPREADS * spread)


def _mean_factor(work: ClassSummary | None) -> float:
    """Return the mean factor between declared and real run times."""
    if work is None or work.samples < MIN_SAMPLES:
        return 1.0
    return work.ratio * math.exp(min(1.0, work.spread**2 / 2))

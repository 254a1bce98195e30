"""Workloads, and functions that draw jobs, outages and cancellations at random."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_core.jobs import JobRequest

if TYPE_CHECKING:
    import random

    from briardeal_core.configuration import Adjacency, Configuration
    from briardeal_core.jobs import WorkerShape

DAY_S = 24 * 3600.0
MAX_DECLARATION_ERROR = 10.0
"""Largest factor between the declared and the actual run time, in either direction."""

ALWAYS_FAILING_SHARE = 0.01
CANCELLED_SHARE = 0.3
"""Share of the recent jobs that a customer cancels at once."""


@attrs.frozen
class WorkloadJob:
    """One job of a workload.

    Parameters
    ----------
    request, at_s
        Submitted request and time of its submission, in seconds of virtual time.
    run_s
        Actual run time in seconds, which may differ from the declared one.
    always_fails
        Whether the job fails on every VM.
    """

    request: JobRequest
    at_s: float
    run_s: float
    always_fails: bool = False


@attrs.frozen
class Outage:
    """Period in which a VM is lost, in seconds of virtual time."""

    worker_id: str
    at_s: float
    end_s: float


@attrs.define
class Workload:
    """Jobs, VMs and configuration of a simulation, with all outages and cancellations.

    Attributes
    ----------
    span_s
        Period in which jobs arrive, in seconds.
    cancellations
        Time at which each cancelled job is cancelled, by job.
    faulty_vm
        VM on which every attempt fails, and the time from which it does.
    checkpoint_s_by_customer
        Time that writing a checkpoint takes, in seconds, by customer.
    """

    name: str
    shapes: list[WorkerShape]
    configuration: Configuration
    jobs: list[WorkloadJob]
    span_s: float
    outages: list[Outage] = attrs.field(factory=list)
    cancellations: dict[str, float] = attrs.field(factory=dict)
    faulty_vm: tuple[str, float] | None = None
    checkpoint_s_by_customer: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class JobProfile:
    """Distribution from which similar jobs are drawn.

    Parameters
    ----------
    job_class
        Class of the jobs.
    share
        Share of all jobs that are drawn from this profile.
    median_s, spread
        Median of the run times in seconds, and standard deviation of their logarithm.
    shapes
        Possible numbers of tasks, accelerators per task and adjacencies.
    checkpointable, idempotent
        Shares of the jobs that are checkpointable and idempotent.
    hours
        Hours of the day at which the jobs arrive.
    """

    job_class: str
    share: float
    median_s: float
    spread: float
    shapes: tuple[tuple[int, int, Adjacency], ...]
    checkpointable: float = 0.7
    idempotent: float = 0.85
    hours: tuple[int, ...] = tuple(range(24))


def draw_jobs(
    rng: random.Random,
    profiles: list[JobProfile],
    customers: dict[str, float],
    jobs_per_day: float,
    span_s: float,
) -> list[WorkloadJob]:
    """Draw the jobs of a workload, including bursts of small jobs.

    Parameters
    ----------
    rng
        Source of random numbers.
    profiles
        Profiles from which the jobs are drawn; bursts use the first.
    customers
        Share of the jobs that each customer submits.
    jobs_per_day, span_s
        Arrival rate, and period in which jobs arrive in seconds.
    """
    bias_by_customer = {name: math.exp(rng.uniform(-1, 1)) for name in customers}
    jobs = []
    count = round(jobs_per_day * span_s / DAY_S)
    for number in range(count):
        profile = rng.choices(profiles, [profile.share for profile in profiles])[0]
        customer = rng.choices(list(customers), list(customers.values()))[0]
        jobs.append(
            _draw_job(rng, f"{number}", profile, customer, span_s, bias_by_customer[customer])
        )
    for burst in range(round(2 * span_s / DAY_S)):
        at_s = rng.uniform(0, span_s)
        customer = rng.choice(list(customers))
        for number in range(max(4, count // 100)):
            job = _draw_job(
                rng,
                f"burst{burst}-{number}",
                profiles[0],
                customer,
                span_s,
                bias_by_customer[customer],
            )
            jobs.append(attrs.evolve(job, at_s=at_s))
    jobs.sort(key=lambda job: job.at_s)
    return jobs


def scale_run_times(workload: Workload, utilisation: float) -> None:
    """Scale all run times so that the workload uses the given share of the accelerators."""
    capacity = sum(shape.accelerators for shape in workload.shapes) * workload.span_s
    demand = sum(
        job.run_s * job.request.tasks * job.request.accelerators_per_task for job in workload.jobs
    )
    factor = utilisation * capacity / demand
    workload.jobs = [
        attrs.evolve(
            job,
            run_s=job.run_s * factor,
            request=JobRequest(
                **{
                    **{name: getattr(job.request, name) for name in job.request.__struct_fields__},
                    "declared_run_s": job.request.declared_run_s * factor,
                }
            ),
        )
        for job in workload.jobs
    ]


def draw_outages(
    rng: random.Random, shapes: list[WorkerShape], span_s: float, per_day: float
) -> list[Outage]:
    """Draw outages of VMs that fail or are replaced."""
    outages = []
    at_s = rng.expovariate(per_day / DAY_S)
    while at_s < span_s:
        worker_id = rng.choice(shapes).worker_id
        outages.append(Outage(worker_id, at_s, at_s + rng.uniform(300, 3600)))
        at_s += rng.expovariate(per_day / DAY_S)
    return outages


def draw_cancellations(rng: random.Random, workload: Workload, waves: int) -> None:
    """Draw waves in which a customer cancels a share of its recent jobs at once."""
    for _ in range(waves):
        customer = rng.choice(workload.configuration.customers).name
        at_s = rng.uniform(0, workload.span_s)
        for job in workload.jobs:
            recent = at_s - DAY_S / 2 < job.at_s < at_s
            if job.request.customer == customer and recent and rng.random() < CANCELLED_SHARE:
                workload.cancellations[job.request.job_id] = at_s


def _draw_job(
    rng: random.Random, name: str, profile: JobProfile, customer: str, span_s: float, bias: float
) -> WorkloadJob:
    day = rng.randrange(math.ceil(span_s / DAY_S))
    at_s = day * DAY_S + rng.choice(profile.hours) * 3600.0 + rng.uniform(0, 3600)
    run_s = profile.median_s * math.exp(rng.gauss(0, profile.spread))
    declaration_error = math.exp(rng.uniform(-1, 1) * math.log(MAX_DECLARATION_ERROR))
    tasks, accelerators, adjacency = rng.choice(profile.shapes)
    request = JobRequest(
        job_id=name,
        customer=customer,
        job_class=profile.job_class,
        tasks=tasks,
        accelerators_per_task=accelerators,
        adjacency=adjacency,
        declared_run_s=max(1.0, run_s * declaration_error * bias),
        checkpointable=rng.random() < profile.checkpointable,
        idempotent=rng.random() < profile.idempotent,
    )
    return WorkloadJob(request, min(at_s, span_s), run_s, rng.random() < ALWAYS_FAILING_SHARE)

"""What a load consists of, and how its jobs are drawn."""

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
DECLARED_OFF_BY = 10.0
POISONED_SHARE = 0.01
CANCELLED_SHARE = 0.3


@attrs.frozen
class LoadJob:
    """One job of a load.

    Parameters
    ----------
    request, at_s
        What is submitted, and when.
    run_s
        How long it really runs.
    poisoned
        Whether it fails wherever it runs.
    """

    request: JobRequest
    at_s: float
    run_s: float
    poisoned: bool = False


@attrs.frozen
class Outage:
    """A time in which a VM is gone."""

    worker_id: str
    at_s: float
    until_s: float


@attrs.define
class Load:
    """A load with everything that happens to it.

    Attributes
    ----------
    span_s
        Time in which jobs arrive.
    cancellations
        When each cancelled job is cancelled.
    bad_worker
        A VM that fails all that it starts, with the time that this begins.
    checkpoint_s
        How long a checkpoint takes for each customer.
    """

    name: str
    shapes: list[WorkerShape]
    configuration: Configuration
    jobs: list[LoadJob]
    span_s: float
    outages: list[Outage] = attrs.field(factory=list)
    cancellations: dict[str, float] = attrs.field(factory=dict)
    bad_worker: tuple[str, float] | None = None
    checkpoint_s: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Kind:
    """A kind of work from which jobs are drawn.

    Parameters
    ----------
    job_class
        Its class.
    share
        Part of the jobs that are of this kind.
    median_s, spread
        Median and logarithmic spread of its run times.
    shapes
        Tasks, accelerators of each and adjacency; one of them is drawn.
    checkpointable, idempotent
        Part of the jobs that are so.
    hours
        Hours of the day at which it arrives, or all.
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
    kinds: list[Kind],
    customers: dict[str, float],
    jobs_per_day: float,
    span_s: float,
) -> list[LoadJob]:
    """Draw the jobs of a load, with bursts of small jobs.

    Parameters
    ----------
    rng
        Source of chance.
    kinds
        What they are drawn from.
    customers
        Part of the jobs that each customer submits.
    jobs_per_day, span_s
        How many, and for how long.
    """
    bias = {name: math.exp(rng.uniform(-1, 1)) for name in customers}
    jobs = []
    count = round(jobs_per_day * span_s / DAY_S)
    for number in range(count):
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        customer = rng.choices(list(customers), list(customers.values()))[0]
        jobs.append(_draw(rng, f"{number}", kind, customer, span_s, bias[customer]))
    for wave in range(round(2 * span_s / DAY_S)):
        at_s = rng.uniform(0, span_s)
        customer = rng.choice(list(customers))
        for number in range(max(4, count // 100)):
            job = _draw(rng, f"burst{wave}-{number}", kinds[0], customer, span_s, bias[customer])
            jobs.append(attrs.evolve(job, at_s=at_s))
    jobs.sort(key=lambda job: job.at_s)
    return jobs


def scale_run_times(load: Load, utilisation: float) -> None:
    """Stretch all run times so that the work fills the given part of the accelerators."""
    capacity = sum(shape.accelerators for shape in load.shapes) * load.span_s
    work = sum(
        job.run_s * job.request.tasks * job.request.accelerators_per_task for job in load.jobs
    )
    factor = utilisation * capacity / work
    load.jobs = [
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
        for job in load.jobs
    ]


def draw_outages(
    rng: random.Random, shapes: list[WorkerShape], span_s: float, per_day: float
) -> list[Outage]:
    """Draw VMs that fail or are replaced."""
    outages = []
    at_s = rng.expovariate(per_day / DAY_S)
    while at_s < span_s:
        worker_id = rng.choice(shapes).worker_id
        outages.append(Outage(worker_id, at_s, at_s + rng.uniform(300, 3600)))
        at_s += rng.expovariate(per_day / DAY_S)
    return outages


def draw_cancellations(rng: random.Random, load: Load, waves: int) -> None:
    """Let customers cancel a part of their newer jobs all at once."""
    for _ in range(waves):
        customer = rng.choice(load.configuration.customers).name
        at_s = rng.uniform(0, load.span_s)
        for job in load.jobs:
            recent = at_s - DAY_S / 2 < job.at_s < at_s
            if job.request.customer == customer and recent and rng.random() < CANCELLED_SHARE:
                load.cancellations[job.request.job_id] = at_s


def _draw(
    rng: random.Random, name: str, kind: Kind, customer: str, span_s: float, bias: float
) -> LoadJob:
    day = rng.randrange(math.ceil(span_s / DAY_S))
    at_s = day * DAY_S + rng.choice(kind.hours) * 3600.0 + rng.uniform(0, 3600)
    run_s = kind.median_s * math.exp(rng.gauss(0, kind.spread))
    off_by = math.exp(rng.uniform(-1, 1) * math.log(DECLARED_OFF_BY))
    tasks, accelerators, adjacency = rng.choice(kind.shapes)
    request = JobRequest(
        job_id=name,
        customer=customer,
        job_class=kind.job_class,
        tasks=tasks,
        accelerators_per_task=accelerators,
        adjacency=adjacency,
        declared_run_s=max(1.0, run_s * off_by * bias),
        checkpointable=rng.random() < kind.checkpointable,
        idempotent=rng.random() < kind.idempotent,
    )
    return LoadJob(request, min(at_s, span_s), run_s, rng.random() < POISONED_SHARE)

"""Random jobs of three classes that together need a given multiple of a fleet's capacity."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.model import Configuration, Customer, Job, Queue, Service, Step
from briardeal_workflow.planning import Resources

if TYPE_CHECKING:
    from random import Random

SERVICE = "sampling"
CUSTOMERS = ("north", "east", "south", "west")
GUARANTEED_ACCELERATORS = 16
MIN_RUN_S = 0.5
TASK_SPREAD = 0.15
"""Standard deviation of the logarithm of run times within a step."""


@attrs.frozen
class JobClass:
    """Jobs of one queue.

    Parameters
    ----------
    queue
        Queue of the jobs.
    share
        Share of the offered work.
    mean_tasks, max_tasks
        Mean and largest number of tasks of a step.
    mean_steps
        Mean number of steps, 1 to 2, which run one after the other.
    run_s
        Median run time of a task, in seconds.
    run_spread, declared_spread
        Standard deviations of the logarithms of the run time, and of the factor by which declared
        run times are off.
    accelerators
        Accelerators of a task, one of these at random.
    cpu_millis, memory_mb
        Processor time and memory of a task.
    gang_share
        Share of the steps of several tasks that run all at the same time or not at all.
    checkpointable_share
        Share of the jobs whose tasks resume from a checkpoint.
    """

    queue: Queue
    share: float
    mean_tasks: float
    max_tasks: int
    mean_steps: float
    run_s: float
    run_spread: float
    declared_spread: float
    accelerators: tuple[int, ...]
    cpu_millis: int
    memory_mb: int
    gang_share: float
    checkpointable_share: float


URGENT = JobClass(
    queue=Queue("urgent", "a.example", "/urgent/", SERVICE, 0, 4, 1.5, 0.4),
    share=0.25,
    mean_tasks=3.4,
    max_tasks=21,
    mean_steps=1.0,
    run_s=5.0,
    run_spread=0.5,
    declared_spread=0.2,
    accelerators=(1, 2, 4, 8, 8),
    cpu_millis=7500,
    memory_mb=22_000,
    gang_share=1.0,
    checkpointable_share=0.0,
)
BATCH = JobClass(
    queue=Queue("batch", "a.example", "/batch/", SERVICE, 1, 3, 3.0, 1.2),
    share=0.55,
    mean_tasks=1.5,
    max_tasks=9,
    mean_steps=1.0,
    run_s=22.0,
    run_spread=0.3,
    declared_spread=0.2,
    accelerators=(1, 2, 4, 8, 8),
    cpu_millis=26_000,
    memory_mb=30_000,
    gang_share=0.6,
    checkpointable_share=0.45,
)
BULK = JobClass(
    queue=Queue("bulk", "a.example", "/bulk/", SERVICE, 2, 3, 3.0, 3.0),
    share=0.2,
    mean_tasks=9.2,
    max_tasks=55,
    mean_steps=1.3,
    run_s=12.2,
    run_spread=0.3,
    declared_spread=0.5,
    accelerators=(1,),
    cpu_millis=5600,
    memory_mb=29_000,
    gang_share=0.0,
    checkpointable_share=0.45,
)


@attrs.frozen
class Fleet:
    """VMs of one size, and the classes of the jobs that they run.

    Parameters
    ----------
    vms
        Number of VMs.
    vm_capacity
        Capacity of each VM.
    classes
        Classes of the jobs.
    """

    vms: int
    vm_capacity: Resources
    classes: tuple[JobClass, ...] = (URGENT, BATCH, BULK)

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all VMs."""
        return self.vms * self.vm_capacity.accelerators


SMALL_FLEET = Fleet(vms=11, vm_capacity=Resources(64_000, 262_144, 8))
"""A fleet on which single tasks share VMs with each other and with small gangs."""

LARGE_FLEET = Fleet(
    vms=55,
    vm_capacity=Resources(32_000, 65_536, 8),
    classes=(
        attrs.evolve(
            URGENT, share=0.24, mean_tasks=5.0, max_tasks=28, cpu_millis=3700, memory_mb=9800
        ),
        attrs.evolve(
            BATCH,
            share=0.44,
            mean_tasks=6.0,
            max_tasks=35,
            run_s=14.0,
            run_spread=0.4,
            cpu_millis=13_000,
            memory_mb=26_000,
            gang_share=1.0,
        ),
        attrs.evolve(
            BULK,
            share=0.32,
            mean_tasks=30.0,
            max_tasks=180,
            run_s=14.0,
            run_spread=0.4,
            cpu_millis=2800,
            memory_mb=7400,
        ),
    ),
)
"""A fleet with an urgent gang of several VMs every second, and with bulk jobs of wide steps."""

CONFIGURATION = Configuration(
    1,
    queues=tuple(each.queue for each in (URGENT, BATCH, BULK)),
    services=(Service(SERVICE),),
    customers=tuple(Customer(name, frozenset(), GUARANTEED_ACCELERATORS) for name in CUSTOMERS),
)


@attrs.frozen
class OfferedJob:
    """A job, when it is submitted, and how long its tasks run.

    Parameters
    ----------
    job
        Job as its caller submits it.
    submitted_s
        Time of its submission, in seconds after the start of the load.
    run_s
        Run times in seconds, by step and index; all members of a gang run equally long.
    """

    job: Job
    submitted_s: float
    run_s: tuple[tuple[float, ...], ...]


def create_workload(
    rng: Random, fleet: Fleet, load: float, duration_s: float, started_s: float
) -> list[OfferedJob]:
    """Return the jobs of a load, in the order of their submission.

    Parameters
    ----------
    fleet
        VMs and the classes of the jobs.
    load
        Offered work as a multiple of what the accelerators can do.
    duration_s
        Time over which jobs are submitted, in seconds.
    started_s
        Start of the load, in seconds since 1970.
    """
    jobs = []
    for job_class in fleet.classes:
        work_s = load * job_class.share * fleet.accelerators * duration_s
        while work_s > 0:
            submitted_s = rng.uniform(0.0, duration_s)
            offered = _create_job(rng, job_class, fleet.accelerators // 2, submitted_s, started_s)
            work_s -= sum(
                sum(run_s) * step.accelerators
                for step, run_s in zip(offered.job.steps, offered.run_s, strict=True)
            )
            jobs.append(offered)
    return sorted(jobs, key=lambda each: (each.submitted_s, each.job.job_id))


def _create_job(
    rng: Random,
    job_class: JobClass,
    largest_accelerators: int,
    submitted_s: float,
    started_s: float,
) -> OfferedJob:
    steps, run_s = [], []
    declared_factor = _draw_factor(rng, job_class.declared_spread)
    accelerators = rng.choice(job_class.accelerators)
    checkpointable = rng.random() < job_class.checkpointable_share
    step_count = 2 if rng.random() < job_class.mean_steps - 1 else 1
    for number in range(step_count):
        tasks = max(1, round(rng.expovariate(1 / job_class.mean_tasks)))
        tasks = min(tasks, job_class.max_tasks, max(1, largest_accelerators // accelerators))
        gang = tasks > 1 and rng.random() < job_class.gang_share
        typical_s = max(MIN_RUN_S, job_class.run_s * _draw_factor(rng, job_class.run_spread))
        steps.append(
            Step(
                tasks,
                cpu_millis=job_class.cpu_millis,
                memory_mb=job_class.memory_mb,
                accelerators=accelerators,
                estimate_s=typical_s * declared_factor,
                after=(number - 1,) if number else (),
                checkpointable=checkpointable,
                gang=gang,
            )
        )
        own = (1 if gang else tasks) * [typical_s]
        varied = [each * _draw_factor(rng, TASK_SPREAD) for each in own]
        run_s.append(tuple(varied * tasks if gang else varied))
    job = Job(
        f"{rng.getrandbits(64):016x}",
        job_class.queue.name,
        SERVICE,
        rng.choice(CUSTOMERS),
        "run",
        tuple(steps),
        accepted_s=started_s + submitted_s,
    )
    return OfferedJob(job, submitted_s, tuple(run_s))


def _draw_factor(rng: Random, spread: float) -> float:
    return math.exp(rng.gauss(0.0, spread))

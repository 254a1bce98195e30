"""Memory and processor time of the owner of a region by the number of workers and jobs."""

from __future__ import annotations

import statistics
import time
import tracemalloc

import attrs

from bench.figures import Figure
from bench.target import ACCELERATORS, TASKS, TEAMS, WORKERS
from briardeal_core.configuration import Configuration, Customer, JobClass
from briardeal_core.jobs import JobRequest, WorkerShape
from briardeal_scheduling import Scheduler, Start

SIZES = (157, 315, 630)
JOBS_PER_WORKER = 1
WORKERS_PER_RACK = 10
ACCELERATORS_PER_WORKER = ACCELERATORS // WORKERS
TASKS_PER_WORKER = TASKS // WORKERS


@attrs.frozen
class OwnerUse:
    """Memory and processor time of a scheduler with a number of workers.

    Parameters
    ----------
    workers
        Number of workers; there are as many running jobs.
    memory_kb
        Memory of the whole state, in KB.
    quiet_round_s
        Processor time of a round in which nothing changed, in seconds.
    start_cpu_s
        Processor time of deciding on one new job, in seconds.
    """

    workers: int
    memory_kb: float
    quiet_round_s: float
    start_cpu_s: float


def measure() -> list[Figure]:
    """Return the memory and processor time of an owner at several sizes."""
    figures = []
    for use in map(measure_owner, SIZES):
        size = f"{use.workers} workers"
        figures += [
            Figure("owner", f"memory of the decisions, {size}", use.memory_kb / 1024, "MB"),
            Figure("owner", f"quiet round, {size}", use.quiet_round_s * 1e3, "ms"),
            Figure("owner", f"decision on one new job, {size}", use.start_cpu_s * 1e3, "ms"),
        ]
    return figures


def measure_owner(workers: int) -> OwnerUse:
    """Fill a scheduler with workers and jobs, and return its memory and processor time."""
    tracemalloc.start()
    scheduler = Scheduler()
    scheduler.configure(_configuration(), 0.0)
    for number in range(workers):
        scheduler.worker_up(_worker(number), 0.0)
    began_s = time.process_time()
    for number in range(workers * JOBS_PER_WORKER):
        scheduler.submit(_job(number), 0.0)
    starts = [item for item in scheduler.decide(0.0) if isinstance(item, Start)]
    spent_s = time.process_time() - began_s
    for start in starts:
        scheduler.report_started(start.job_id, 1.0)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    rounds = [_time_round(scheduler, 2.0 + number) for number in range(20)]
    return OwnerUse(workers, memory_kb, statistics.median(rounds), spent_s / len(starts))


def _time_round(scheduler: Scheduler, now_s: float) -> float:
    began_s = time.process_time()
    scheduler.decide(now_s)
    return time.process_time() - began_s


def _configuration() -> Configuration:
    return Configuration(
        classes=(JobClass(name="batch", finish_within_s=86_400.0),),
        customers=tuple(Customer(name=f"team-{number}") for number in range(TEAMS)),
    )


def _worker(number: int) -> WorkerShape:
    return WorkerShape(
        worker_id=f"worker-{number}",
        region=f"region-{number % 2}",
        failure_domain=f"domain-{number % 4}",
        rack=f"rack-{number // WORKERS_PER_RACK}",
        accelerators=ACCELERATORS_PER_WORKER,
    )


def _job(number: int) -> JobRequest:
    return JobRequest(
        job_id=f"job-{number:016x}",
        customer=f"team-{number % TEAMS}",
        job_class="batch",
        tasks=1,
        accelerators_per_task=1,
        checkpointable=True,
    )

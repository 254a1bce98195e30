"""Recovery from an outage of the log with all entries replaced, and from a partitioned region."""

from __future__ import annotations

import asyncio
import math
from functools import partial
from typing import TYPE_CHECKING

import attrs

from bench.figures import Bound, Figure
from bench.log_harness import run_virtual
from briardeal_core.configuration import Configuration, Customer, JobClass
from briardeal_core.configuration.store import Accepted
from briardeal_core.jobs import JobRequest
from briardeal_core.reasons import Refusal, RunState
from briardeal_standins.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = ("koper", "maribor")
ENTRIES = {"a": REGIONS[0], "c": REGIONS[1]}
WORKERS_PER_REGION = 1
ACCELERATORS = 8
HISTORY_JOBS = (25, 50, 100)
OUTAGE_S = 3600.0
SETTLE_S = 60.0
RUN_S = "2"
LONG_RUN_S = "100000"
CONFIGURATION_LIMIT_S = 6.0
TIMEOUT_S = 300.0
POLL_S = 0.05
ZERO = Bound("==", 0)


@attrs.define
class Outcomes:
    """Outcomes that callers and operators received.

    Attributes
    ----------
    jobs
        Accepted jobs.
    version
        Version of the last accepted configuration.
    unknown
        Number of jobs whose acceptance is unknown.
    rejected
        Number of jobs that were rejected.
    """

    jobs: set[str] = attrs.field(factory=set)
    version: int = 0
    unknown: int = 0
    rejected: int = 0


def parts() -> list[Callable[[], list[Figure]]]:
    """Return the measurements of outages, the longest first, and that of a partitioned region."""
    outages = [partial(measure_outage, jobs) for jobs in reversed(HISTORY_JOBS)]
    return [*outages, measure_region]


def measure_outage(jobs: int) -> list[Figure]:
    """Return the figures of an outage of the log after a number of jobs."""
    return run_virtual(lambda: _measure_outage(jobs))


def measure_region() -> list[Figure]:
    """Return the figures of a partitioned region."""
    return run_virtual(_measure_region)


def combine(results: list[list[Figure]]) -> list[Figure]:
    """Return all figures, and the growth of the recovery time with the number of jobs."""
    *outages, region = results
    by_jobs = list(reversed(outages))
    times_s = [figures[-1].value for figures in by_jobs]
    growth = HISTORY_JOBS[-1] / HISTORY_JOBS[0]
    ratio = Figure(
        "recovery",
        f"all replaced: time at {growth:g}N jobs to that at N",
        times_s[-1] / times_s[0],
        "ratio",
        Bound("<=", growth),
    )
    flat = [figure for figures in by_jobs for figure in figures]
    return [*flat, ratio, *region]


async def _measure_outage(jobs: int) -> list[Figure]:
    """Replace all entries during an outage of the log of one hour."""
    async with Deployment(ENTRIES) as deployment:
        outcomes = await _start_work(deployment, jobs)
        deployment.set_log_outage()
        await asyncio.sleep(OUTAGE_S / 2)
        await deployment.replace_all()
        await asyncio.sleep(OUTAGE_S / 2)
        deployment.set_log_outage(down=False)
        took_s = await _measure_time_until(lambda: _is_recovered(deployment, outcomes))
        await asyncio.sleep(SETTLE_S)
        entries = deployment.running.values()
        records_read = max(entry.jobs.follower.reader.counts.records for entry in entries)
        known_jobs = max(len(entry.job_table.jobs) for entry in entries)
        stopped = (
            [_count_stopped_tasks(deployment, "all replaced")] if jobs == HISTORY_JOBS[-1] else []
        )
        return [
            *_count_violations(deployment, outcomes, f"all replaced, {jobs} jobs"),
            *stopped,
            Figure(
                "recovery",
                f"all replaced, {jobs} jobs: read after the snapshot",
                records_read,
                "records",
            ),
            Figure("recovery", f"all replaced, {jobs} jobs: rebuilt", known_jobs, "jobs"),
            Figure("recovery", f"all replaced, {jobs} jobs: after the log", took_s, "s virtual"),
        ]


async def _measure_region() -> list[Figure]:
    """Partition a region from the other region and from the log for an hour."""
    async with Deployment(ENTRIES) as deployment:
        outcomes = await _start_work(deployment, HISTORY_JOBS[0])
        deployment.isolate(REGIONS[1])
        await asyncio.sleep(OUTAGE_S / 2)
        await _submit(deployment, "c", outcomes, RUN_S)
        await _submit(deployment, "a", outcomes, RUN_S)
        await _apply_configuration(deployment, outcomes, 2)
        await asyncio.sleep(OUTAGE_S / 2)
        deployment.heal()
        spread_s = await _measure_time_until(
            lambda: _is_configuration_current(deployment, outcomes)
        )
        took_s = await _measure_time_until(lambda: _is_recovered(deployment, outcomes))
        await asyncio.sleep(SETTLE_S)
        spread_bound = Bound("<=", CONFIGURATION_LIMIT_S)
        return [
            *_count_violations(deployment, outcomes, "region cut off"),
            _count_stopped_tasks(deployment, "region cut off"),
            Figure("recovery", "region cut off: jobs refused in it", outcomes.rejected, "jobs"),
            Figure("recovery", "region cut off: jobs left unknown", outcomes.unknown, "jobs", ZERO),
            Figure("recovery", "region healed: configuration", spread_s, "s virtual", spread_bound),
            Figure("recovery", "region healed: all jobs known", spread_s + took_s, "s virtual"),
        ]


async def _start_work(deployment: Deployment, jobs: int) -> Outcomes:
    outcomes = Outcomes()
    for region in REGIONS:
        for number in range(WORKERS_PER_REGION):
            await deployment.add_worker(f"{region}-{number}", region, ACCELERATORS)
    await _apply_configuration(deployment, outcomes, 1)
    await asyncio.sleep(SETTLE_S)
    for name in ("a", "c"):
        await _submit(deployment, name, outcomes, LONG_RUN_S, idempotent=False)
    await asyncio.sleep(SETTLE_S)
    names = list(ENTRIES)
    await asyncio.gather(
        *(_submit(deployment, names[n % len(names)], outcomes, RUN_S) for n in range(jobs))
    )
    await asyncio.sleep(SETTLE_S)
    return outcomes


async def _apply_configuration(deployment: Deployment, outcomes: Outcomes, number: int) -> None:
    configuration = Configuration(
        classes=(JobClass(name="sampling", finish_within_s=600.0 * number),),
        customers=(Customer(name="audit"),),
    )
    outcome = await deployment.running["a"].configuration.apply(
        configuration, outcomes.version, "bench"
    )
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"a change without concurrent changes was not accepted: {outcome}")
    outcomes.version = outcome.version


async def _submit(
    deployment: Deployment, name: str, outcomes: Outcomes, run_s: str, *, idempotent: bool = True
) -> None:
    job = JobRequest(
        job_id="",
        customer="audit",
        job_class="sampling",
        tasks=1,
        accelerators_per_task=1,
        idempotent=idempotent,
        command=run_s,
    )
    outcome = await deployment.running[name].jobs.submit(job)
    if not isinstance(outcome, Refusal):
        outcomes.jobs.add(outcome.job_id)
    elif outcome.run_state is RunState.NOT_RUN:
        outcomes.rejected += 1
    else:
        outcomes.unknown += 1


def _is_configuration_current(deployment: Deployment, outcomes: Outcomes) -> bool:
    entries = deployment.running.values()
    return all(entry.configuration.version == outcomes.version for entry in entries)


def _is_recovered(deployment: Deployment, outcomes: Outcomes) -> bool:
    entries = deployment.running.values()
    known = all(outcomes.jobs <= entry.job_table.jobs.keys() for entry in entries)
    return known and _is_configuration_current(deployment, outcomes)


async def _measure_time_until(is_reached: Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not is_reached():
        if loop.time() > began_s + TIMEOUT_S:
            return math.inf
        await asyncio.sleep(POLL_S)
    return loop.time() - began_s


def _count_violations(deployment: Deployment, outcomes: Outcomes, case: str) -> list[Figure]:
    entries = deployment.running.values()
    lost = sum(len(outcomes.jobs - entry.job_table.jobs.keys()) for entry in entries)
    reverted = sum(entry.configuration.version != outcomes.version for entry in entries)
    starts = [name for worker in deployment.workers.values() for name in worker.running]
    doubled = len(starts) - len({name.rpartition(".")[0] for name in starts})
    return [
        Figure("recovery", f"{case}: accepted jobs lost", lost, "jobs", ZERO),
        Figure("recovery", f"{case}: configurations reverted", reverted, "entries", ZERO),
        Figure("recovery", f"{case}: starts beyond the first", doubled, "starts", ZERO),
    ]


def _count_stopped_tasks(deployment: Deployment, case: str) -> Figure:
    """Count the tasks that should still be running but were stopped."""
    now_s = asyncio.get_running_loop().time()
    still_running = 0
    for worker in deployment.workers.values():
        for task in worker.running.values():
            task.advance(now_s)
            still_running += task.ended_s is None
    stopped = len(REGIONS) - still_running
    return Figure("recovery", f"{case}: running work cut", stopped, "tasks", ZERO)

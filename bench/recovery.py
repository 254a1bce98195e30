"""Figures of recovery: all entries replaced in an outage of the log, and a region cut off."""

from __future__ import annotations

import asyncio
import math
from functools import partial
from typing import TYPE_CHECKING

import attrs

from bench.figures import Bound, Figure
from bench.log_parts import run_virtual
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
QUIET_S = 60.0
RUN_S = "2"
LONG_RUN_S = "100000"
CONFIGURATION_WITHIN_S = 6.0
GIVE_UP_S = 300.0
POLL_S = 0.05
NONE = Bound("==", 0)


@attrs.define
class Accepts:
    """What callers and operators were told."""

    jobs: set[str] = attrs.field(factory=set)
    version: int = 0
    unknown: int = 0
    refused: int = 0


def parts() -> list[Callable[[], list[Figure]]]:
    """Return the outages, the longest first, and the region that is cut off."""
    outages = [partial(measure_outage, jobs) for jobs in reversed(HISTORY_JOBS)]
    return [*outages, measure_region]


def measure_outage(jobs: int) -> list[Figure]:
    """Return the figures of an outage with a number of jobs behind it."""
    return run_virtual(lambda: _measure_outage(jobs))


def measure_region() -> list[Figure]:
    """Return the figures of a region that is cut off."""
    return run_virtual(_measure_region)


def combine(results: list[list[Figure]]) -> list[Figure]:
    """Return all figures and how the time to recover grows with the jobs."""
    *outages, region = results
    found = list(reversed(outages))
    times = [figures[-1].value for figures in found]
    growth = HISTORY_JOBS[-1] / HISTORY_JOBS[0]
    ratio = Figure(
        "recovery",
        f"all replaced: time at {growth:g}N jobs to that at N",
        times[-1] / times[0],
        "ratio",
        Bound("<=", growth),
    )
    flat = [figure for figures in found for figure in figures]
    return [*flat, ratio, *region]


async def _measure_outage(jobs: int) -> list[Figure]:
    """Replace all entries while the log is down for an hour."""
    async with Deployment(ENTRIES) as deployment:
        accepts = await _start_work(deployment, jobs)
        deployment.set_log_outage()
        await asyncio.sleep(OUTAGE_S / 2)
        await deployment.replace_all()
        await asyncio.sleep(OUTAGE_S / 2)
        deployment.set_log_outage(down=False)
        took_s = await _time_until(lambda: _is_recovered(deployment, accepts))
        await asyncio.sleep(QUIET_S)
        entries = deployment.running.values()
        read = max(entry.jobs.follower.reader.counts.records for entry in entries)
        known = max(len(entry.job_table.jobs) for entry in entries)
        cut = [_count_cut(deployment, "all replaced")] if jobs == HISTORY_JOBS[-1] else []
        return [
            *_check(deployment, accepts, f"all replaced, {jobs} jobs"),
            *cut,
            Figure(
                "recovery", f"all replaced, {jobs} jobs: read after the snapshot", read, "records"
            ),
            Figure("recovery", f"all replaced, {jobs} jobs: rebuilt", known, "jobs"),
            Figure("recovery", f"all replaced, {jobs} jobs: after the log", took_s, "s virtual"),
        ]


async def _measure_region() -> list[Figure]:
    """Cut a region off from the others and from the log for an hour."""
    async with Deployment(ENTRIES) as deployment:
        accepts = await _start_work(deployment, HISTORY_JOBS[0])
        deployment.isolate(REGIONS[1])
        await asyncio.sleep(OUTAGE_S / 2)
        await _submit(deployment, "c", accepts, RUN_S)
        await _submit(deployment, "a", accepts, RUN_S)
        await _change(deployment, accepts, 2)
        await asyncio.sleep(OUTAGE_S / 2)
        deployment.heal()
        spread_s = await _time_until(lambda: _is_level(deployment, accepts))
        took_s = await _time_until(lambda: _is_recovered(deployment, accepts))
        await asyncio.sleep(QUIET_S)
        within = Bound("<=", CONFIGURATION_WITHIN_S)
        return [
            *_check(deployment, accepts, "region cut off"),
            _count_cut(deployment, "region cut off"),
            Figure("recovery", "region cut off: jobs refused in it", accepts.refused, "jobs"),
            Figure("recovery", "region cut off: jobs left unknown", accepts.unknown, "jobs", NONE),
            Figure("recovery", "region healed: configuration", spread_s, "s virtual", within),
            Figure("recovery", "region healed: all jobs known", spread_s + took_s, "s virtual"),
        ]


async def _start_work(deployment: Deployment, jobs: int) -> Accepts:
    accepts = Accepts()
    for region in REGIONS:
        for number in range(WORKERS_PER_REGION):
            await deployment.add_worker(f"{region}-{number}", region, ACCELERATORS)
    await _change(deployment, accepts, 1)
    await asyncio.sleep(QUIET_S)
    for name in ("a", "c"):
        await _submit(deployment, name, accepts, LONG_RUN_S, idempotent=False)
    await asyncio.sleep(QUIET_S)
    names = list(ENTRIES)
    await asyncio.gather(
        *(_submit(deployment, names[n % len(names)], accepts, RUN_S) for n in range(jobs))
    )
    await asyncio.sleep(QUIET_S)
    return accepts


async def _change(deployment: Deployment, accepts: Accepts, number: int) -> None:
    configuration = Configuration(
        classes=(JobClass(name="sampling", finish_within_s=600.0 * number),),
        customers=(Customer(name="audit"),),
    )
    outcome = await deployment.running["a"].configuration.apply(
        configuration, accepts.version, "bench"
    )
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"a change without rivals was not accepted: {outcome}")
    accepts.version = outcome.version


async def _submit(
    deployment: Deployment, name: str, accepts: Accepts, run_s: str, *, idempotent: bool = True
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
        accepts.jobs.add(outcome.job_id)
    elif outcome.run_state is RunState.NOT_RUN:
        accepts.refused += 1
    else:
        accepts.unknown += 1


def _is_level(deployment: Deployment, accepts: Accepts) -> bool:
    entries = deployment.running.values()
    return all(entry.configuration.version == accepts.version for entry in entries)


def _is_recovered(deployment: Deployment, accepts: Accepts) -> bool:
    entries = deployment.running.values()
    known = all(accepts.jobs <= entry.job_table.jobs.keys() for entry in entries)
    return known and _is_level(deployment, accepts)


async def _time_until(reached: Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while not reached():
        if loop.time() > begun_s + GIVE_UP_S:
            return math.inf
        await asyncio.sleep(POLL_S)
    return loop.time() - begun_s


def _check(deployment: Deployment, accepts: Accepts, case: str) -> list[Figure]:
    entries = deployment.running.values()
    lost = sum(len(accepts.jobs - entry.job_table.jobs.keys()) for entry in entries)
    reverts = sum(entry.configuration.version != accepts.version for entry in entries)
    starts = [name for worker in deployment.workers.values() for name in worker.running]
    doubled = len(starts) - len({name.rpartition(".")[0] for name in starts})
    return [
        Figure("recovery", f"{case}: accepted jobs lost", lost, "jobs", NONE),
        Figure("recovery", f"{case}: configurations reverted", reverts, "entries", NONE),
        Figure("recovery", f"{case}: starts beyond the first", doubled, "starts", NONE),
    ]


def _count_cut(deployment: Deployment, case: str) -> Figure:
    """Count the tasks that were to run on and do not."""
    now_s = asyncio.get_running_loop().time()
    live = 0
    for worker in deployment.workers.values():
        for held in worker.running.values():
            held.advance(now_s)
            live += held.ended_s is None
    cut = len(REGIONS) - live
    return Figure("recovery", f"{case}: running work cut", cut, "tasks", NONE)

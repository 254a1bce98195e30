"""Figures of the log, of rebuilding from it, and of the operators' configuration."""

from __future__ import annotations

import asyncio
import gc
import math
import time
from typing import TYPE_CHECKING

from bench.figures import Bound, Figure
from bench.log_parts import (
    CUSTOMERS,
    DAY_S,
    ENTRIES,
    CountingStore,
    Entry,
    JobChanged,
    fill_jobs,
    make_configuration,
    make_entry,
    run_entries,
    run_virtual,
)
from briardeal_core.configuration.store import Accepted, Conflict
from briardeal_core.log import AppendRateLimiter, Written
from briardeal_standins.deployment import Deployment
from briardeal_standins.log import MemoryLog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardeal_core.configuration.store import ConfigurationStore

JOBS_A_DAY = 890
RECORDS_PER_JOB = 4
CHANGES_A_DAY = 420
IN_FORCE_WITHIN_S = 6.0
APPENDS_PER_S_LIMIT = 100
"""Bound on all entries together; the log takes several hundred a second, shared with others."""

BURST_CHANGES = 42
CHANGE_INTERVAL_S = 10.0
REGIONS = 2
REBUILD_RECORDS = 10_000
REBUILD_ROUNDS = 9
REBUILD_SLACK = 1.5
KEEPER_LIMIT_RECORDS = 1000
LOG_DELAY_S = 0.05
BURST_S = 5.0


def measure() -> list[Figure]:
    """Return the figures."""
    return [
        *run_virtual(_measure_day),
        *run_virtual(_measure_burst),
        *run_virtual(_measure_outage),
        *_measure_rebuild(),
    ]


async def _measure_day() -> list[Figure]:
    """Spread a day's jobs and changes evenly over a day."""
    store = CountingStore()
    async with run_entries(store) as entries:
        work = [*range(JOBS_A_DAY * RECORDS_PER_JOB)]
        await asyncio.gather(
            _spread(work, lambda number: _write_job(entries[number % ENTRIES], number)),
            _spread([*range(CHANGES_A_DAY)], lambda number: _change(entries, number)),
        )
        written = sum(
            entry.keeper.written + entry.store.snapshot_writer.written for entry in entries
        )
    size_mb = store.appended_bytes / 1e6
    return [
        Figure("log", "appends a day at target size", store.appends, "appends"),
        Figure("log", "of these, snapshots", written, "snapshots"),
        Figure("log", "bytes appended a day at target size", size_mb, "MB"),
    ]


async def _spread(work: list[int], act: Callable[[int], Awaitable[None]]) -> None:
    for number in work:
        await act(number)
        await asyncio.sleep(DAY_S / len(work))


async def _write_job(entry: Entry, number: int) -> bool:
    job = JobChanged(
        f"job-{number // RECORDS_PER_JOB:020}", f"customer{number % CUSTOMERS}", "x", "y" * 60
    )
    return isinstance(await entry.writer.append(job, deadline_s=60.0), Written)


async def _change(entries: list[Entry], number: int) -> None:
    store = entries[number % ENTRIES].store
    outcome = await store.apply(make_configuration(number), store.version, "bench")
    if not isinstance(outcome, Accepted):
        raise RuntimeError(f"a change without rivals was not accepted: {outcome}")


async def _measure_burst() -> list[Figure]:
    """Submit a day's jobs within seconds, with a tenth of a day's changes."""
    store = CountingStore()
    async with run_entries(store) as entries:
        for entry in entries:
            entry.log.faults.delay_s = LOG_DELAY_S
        jobs = (_submit_job(entries, number) for number in range(JOBS_A_DAY))
        changes = (
            entries[number % ENTRIES].store.apply(make_configuration(number), 0, "bench", 60.0)
            for number in range(BURST_CHANGES)
        )
        waited, outcomes = await asyncio.gather(asyncio.gather(*jobs), asyncio.gather(*changes))
    accepted = sum(isinstance(outcome, Accepted) for outcome in outcomes)
    told = sum(isinstance(outcome, Conflict) for outcome in outcomes)
    lost = sum(math.isinf(wait_s) for wait_s in waited)
    budget = AppendRateLimiter()
    worst = ENTRIES * (budget.rate_per_s + budget.burst)
    rate = Bound("<=", APPENDS_PER_S_LIMIT)
    all_but_one = Bound("==", BURST_CHANGES - 1)
    return [
        Figure("log", "budget: most appends in a second, 4 entries", worst, "1/s", rate),
        Figure("log", "a day's jobs in 5 s: peak appends", store.most_in_a_second(), "1/s", rate),
        Figure("log", "a day's jobs in 5 s: slowest acceptance", max(waited), "s"),
        Figure("log", "a day's jobs in 5 s: not written", lost, "jobs", Bound("==", 0)),
        Figure("log", "changes racing for one version: accepted", accepted, "", Bound("==", 1)),
        Figure("log", "changes racing: told of the winner", told, "", all_but_one),
    ]


async def _submit_job(entries: list[Entry], number: int) -> float:
    """Return the seconds until the job was written, or infinity if it was not."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(BURST_S * number / JOBS_A_DAY)
    before_s = loop.time()
    written = await _write_job(entries[number % ENTRIES], number * RECORDS_PER_JOB)
    return loop.time() - before_s if written else math.inf


async def _measure_outage() -> list[Figure]:
    """Change the configuration while one entry after the other is cut from the log."""
    slowest_s = 0.0
    names = [f"entry{index}" for index in range(ENTRIES)]
    places = {name: f"region{index % REGIONS}" for index, name in enumerate(names)}
    async with Deployment(places) as deployment:
        for number in range(BURST_CHANGES):
            cut = names[number % ENTRIES]
            deployment.set_log_outage(down=False)
            deployment.set_log_outage(cut)
            writer = deployment.running[names[(number + 1) % ENTRIES]].configuration
            stores = [entry.configuration for entry in deployment.running.values()]
            slowest_s = max(slowest_s, await _time_change(stores, writer, number))
            await asyncio.sleep(CHANGE_INTERVAL_S)
    bound = Bound("<=", IN_FORCE_WITHIN_S)
    return [Figure("log", "in force everywhere, one entry cut off, slowest", slowest_s, "s", bound)]


async def _time_change(
    stores: list[ConfigurationStore], writer: ConfigurationStore, number: int
) -> float:
    loop = asyncio.get_running_loop()
    outcome = await writer.apply(make_configuration(number), writer.version, "bench")
    accepted_at_s = loop.time()
    if not isinstance(outcome, Accepted):
        return math.inf
    while any(store.version < outcome.version for store in stores):
        if loop.time() > accepted_at_s + 60:
            return math.inf
        await asyncio.sleep(0.01)
    return loop.time() - accepted_at_s


def _measure_rebuild() -> list[Figure]:
    """Rebuild a view from N, 2N and 4N records, and from a snapshot."""
    costs = _time_rebuilds((1, 2, 4))
    per_record_us = costs[4] / (4 * REBUILD_RECORDS) * 1e6
    read = asyncio.run(_count_after_snapshot())
    most = KEEPER_LIMIT_RECORDS + REBUILD_RECORDS // 100
    return [
        Figure("log", f"rebuild from {4 * REBUILD_RECORDS} records, each", per_record_us, "us CPU"),
        *(
            Figure(
                "log",
                f"rebuild: cost of {factor}N records to that of N",
                costs[factor] / costs[1],
                "ratio",
                Bound("<=", factor * REBUILD_SLACK),
            )
            for factor in (2, 4)
        ),
        Figure(
            "log", "rebuild: entries read beyond a snapshot", read, "entries", Bound("<=", most)
        ),
    ]


def _time_rebuilds(factors: tuple[int, ...]) -> dict[int, float]:
    """Return the least processor time of each size.

    The sizes take turns, so that what else runs on the machine weighs on all of them alike.
    """
    costs = dict.fromkeys(factors, math.inf)
    # The collector's cost depends on what the groups measured before have left behind.
    gc.disable()
    try:
        for _ in range(REBUILD_ROUNDS):
            for factor in factors:
                cost = asyncio.run(_rebuild(factor * REBUILD_RECORDS))
                costs[factor] = min(costs[factor], cost)
                gc.collect()
    finally:
        gc.enable()
    return costs


async def _rebuild(records: int) -> float:
    log = MemoryLog()
    await fill_jobs(log, 0, records)
    follower = make_entry(log, "reader").follower
    before_s = time.process_time()
    await follower.start()
    await follower.wait_current()
    took_s = time.process_time() - before_s
    await follower.stop()
    if follower.reader.counts.records != records:
        raise RuntimeError("the rebuild left records out")
    return took_s


async def _count_after_snapshot() -> int:
    """Fill the log in steps of a hundredth, with a check for a snapshot after each."""
    log = MemoryLog()
    ahead, behind = make_entry(log, "ahead"), make_entry(log, "behind")
    ahead.keeper.limit_records = KEEPER_LIMIT_RECORDS
    step = REBUILD_RECORDS // 100
    await ahead.follower.start()
    for start in range(0, REBUILD_RECORDS, step):
        await fill_jobs(log, start, start + step)
        while ahead.follower.offset < start + step:
            await asyncio.sleep(0)
        await ahead.keeper.write_if_due()
    await behind.follower.start()
    await behind.follower.wait_current()
    await behind.follower.stop()
    await ahead.follower.stop()
    return behind.follower.reader.counts.entries

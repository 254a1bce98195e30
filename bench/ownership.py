"""Ownership of a region: double starts, stalls, partial gangs and the cost of a takeover."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs
import looptime

from bench.figures import Bound, Figure
from briardeal.jobs import FirstFitScheduler
from briardeal.jobs.ownership import LeaseState
from briardeal_agent.tasks import PARTIAL_GANG_LIMIT_S
from briardeal_core.clock import loop_time
from tests.entry.jobs.cluster import Cluster
from tests.entry.jobs.run_checker import collect_runs, find_overlapping_attempts, partial_gang_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

URGENT_START_S = 1.1
HOUR_S = 3600.0
SAMPLE_S = 0.25
SIZES = (25, 50, 100, 200)


@attrs.define
class Violations:
    """Violations found in all scenarios.

    Attributes
    ----------
    double_starts
        Number of pairs of attempts of one job that ran at the same time.
    partial_s
        Longest time for which only a part of a gang ran, in seconds.
    """

    double_starts: int = 0
    partial_s: float = 0.0


def measure() -> list[Figure]:
    """Return the figures of ownership; all times but processor time are virtual."""
    violations = Violations()
    scenarios = {
        "owner killed": _kill_owner,
        "owner paused 60 s": _pause_owner,
        "log out of reach of the region, 1 h": _disconnect_region,
        "owner alone cut from log": _disconnect_owner,
    }
    figures = [
        _figure(f"starts stalled, {name}", _run_virtual(_run_scenario(scenario, violations)), "s")
        for name, scenario in scenarios.items()
    ]
    figures.append(
        _figure("double starts in all scenes", violations.double_starts, "", Bound("==", 0))
    )
    bound = Bound("<=", PARTIAL_GANG_LIMIT_S)
    _run_virtual(_partition_gang(violations))
    figures.append(_figure("longest partial run of a gang", violations.partial_s, "s", bound))
    urgent_s = _run_virtual(_measure_urgent_start())
    bound = Bound("<=", URGENT_START_S)
    figures.append(_figure("urgent job, submission to running", urgent_s, "s", bound))
    return figures + _measure_takeover()


async def _run_scenario(
    scenario: Callable[[Cluster], Awaitable[float]], violations: Violations
) -> float:
    async with Cluster(entries=3, workers=3) as cluster:
        owner = await cluster.wait_owner()
        for _ in range(6):
            await cluster.submit(owner, tasks=3, accelerators_per_task=4, command="7")
        stalled_s = await scenario(cluster)
        await asyncio.sleep(120)
        _count_violations(cluster, violations)
        return stalled_s


def _count_violations(cluster: Cluster, violations: Violations) -> None:
    attempts: dict[tuple[str, int], list] = {}
    for run in collect_runs(cluster, loop_time()):
        attempts.setdefault((run.job_id, run.attempt), []).append(run)
    violations.double_starts += len(find_overlapping_attempts(attempts))
    violations.partial_s = max([violations.partial_s, *map(partial_gang_s, attempts.values())])


async def _kill_owner(cluster: Cluster) -> float:
    (await cluster.wait_owner()).kill()
    return await _measure_stall_s(cluster, 60)


async def _pause_owner(cluster: Cluster) -> float:
    owner = await cluster.wait_owner()
    owner.pause()
    stalled_s = await _measure_stall_s(cluster, 60)
    owner.resume()
    return stalled_s + await _measure_stall_s(cluster, 60)


async def _disconnect_region(cluster: Cluster) -> float:
    cluster.set_log_outage(True)
    stalled_s = await _measure_stall_s(cluster, HOUR_S)
    cluster.set_log_outage(False)
    return stalled_s + await _measure_stall_s(cluster, 60)


async def _disconnect_owner(cluster: Cluster) -> float:
    cluster.set_log_outage(True, await cluster.wait_owner())
    return await _measure_stall_s(cluster, 60)


async def _measure_stall_s(cluster: Cluster, span_s: float) -> float:
    """Return for how much of a period no entry could start an idempotent job, in seconds."""
    stalled_samples = 0
    for _ in range(int(span_s / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        stalled_samples += not any(_can_start_jobs(entry) for entry in cluster.entries)
    return stalled_samples * SAMPLE_S


def _can_start_jobs(entry: object) -> bool:
    is_running = entry.process_state.running.is_set() and not entry.process_state.killed
    if not is_running or entry.jobs.owner.term is None:
        return False
    lease_state = entry.jobs.ownership.lease_state()
    return lease_state is LeaseState.PEER_CONFIRMED or (
        lease_state is LeaseState.LOGGED and not entry.log.faults.outage
    )


async def _partition_gang(violations: Violations) -> None:
    """Disconnect one agent of a gang from all entries, so that its other tasks are stopped."""
    async with Cluster(entries=2, workers=4) as cluster:
        job_id = await cluster.submit(await cluster.wait_owner(), tasks=3, command="500")
        await cluster.wait_running(job_id)
        await asyncio.sleep(30)
        for address in cluster.addresses:
            cluster.agents[0].network.cut(address)
        await asyncio.sleep(150)
        _count_violations(cluster, violations)


async def _measure_urgent_start() -> float:
    """Return the time from the submission of a gang of 64 tasks until all tasks run."""
    async with Cluster(entries=2, workers=64) as cluster:
        cluster.network.latency_s = 0.008
        owner = await cluster.wait_owner()
        for entry in cluster.entries:
            entry.log.faults.delay_s = 0.016
        await asyncio.sleep(10)
        began_s = loop_time()
        job_id = await cluster.submit(owner, tasks=64, command="60")
        await cluster.wait_running(job_id)
        return loop_time() - began_s


def _measure_takeover() -> list[Figure]:
    figures = []
    messages = {}
    for size in SIZES:
        began_s = time.process_time()
        stalled_s, messages[size] = _run_virtual(_measure_recovery(size))
        spent_s = time.process_time() - began_s
        figures.append(_figure(f"recovery after a killed owner, {size} agents", stalled_s, "s"))
        figures.append(_figure(f"messages of the new owner, {size} agents", messages[size], ""))
        figures.append(_figure(f"processor time of the whole scene, {size} agents", spent_s, "s"))
    growth = messages[SIZES[-1]] / messages[SIZES[0]]
    bound = Bound("<=", SIZES[-1] / SIZES[0])
    figures.append(_figure("growth of messages over growth of agents x8", growth, "x", bound))
    return figures


async def _measure_recovery(size: int) -> tuple[float, int]:
    """Return how long a region has no decisions, and the messages of the new owner until then."""
    async with Cluster(entries=2, workers=size, create_scheduler=FirstFitScheduler) as cluster:
        owner = await cluster.wait_owner()
        for _ in range(size // 5):
            await cluster.submit(owner, tasks=5, command="900")
        await asyncio.sleep(10)
        new_owner = next(entry for entry in cluster.entries if entry is not owner)
        before = new_owner.jobs.gang_client.messages_sent
        began_s = loop_time()
        owner.kill()
        await cluster.wait_owner(other_than=owner)
        while not new_owner.jobs.owner.term.attempts:
            await asyncio.sleep(0.05)
        return loop_time() - began_s, new_owner.jobs.gang_client.messages_sent - before


def _figure(name: str, value: float, unit: str, bound: Bound | None = None) -> Figure:
    return Figure("ownership", name, float(value), unit, bound)


def _run_virtual(scenario):  # noqa: ANN001, ANN202
    loop = looptime.new_event_loop(noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()
        asyncio.set_event_loop(None)

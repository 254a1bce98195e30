"""Ownership of a region: double starts, stalls, gangs and the cost of taking over."""

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
class Totals:
    """What the scenes saw together."""

    doubles: int = 0
    partial_s: float = 0.0


def measure() -> list[Figure]:
    """Return the figures of ownership, all on virtual time but for the processor time."""
    totals = Totals()
    scenes = {
        "owner killed": _kill_owner,
        "owner paused 60 s": _pause_owner,
        "log out of reach of the region, 1 h": _stop_log,
        "owner alone cut from log": _cut_owner,
    }
    figures = [
        _figure(f"starts stalled, {name}", _on_virtual_time(_run_scene(scene, totals)), "s")
        for name, scene in scenes.items()
    ]
    figures.append(_figure("double starts in all scenes", totals.doubles, "", Bound("==", 0)))
    bound = Bound("<=", PARTIAL_GANG_LIMIT_S)
    _on_virtual_time(_part_gang(totals))
    figures.append(_figure("longest partial run of a gang", totals.partial_s, "s", bound))
    urgent_s = _on_virtual_time(_start_urgent())
    bound = Bound("<=", URGENT_START_S)
    figures.append(_figure("urgent job, submission to running", urgent_s, "s", bound))
    return figures + _measure_takeover()


async def _run_scene(scene: Callable[[Cluster], Awaitable[float]], totals: Totals) -> float:
    async with Cluster(entries=3, workers=3) as cluster:
        owner = await cluster.wait_owner()
        for _ in range(6):
            await cluster.submit(owner, tasks=3, accelerators_per_task=4, command="7")
        stalled_s = await scene(cluster)
        await asyncio.sleep(120)
        _count(cluster, totals)
        return stalled_s


def _count(cluster: Cluster, totals: Totals) -> None:
    attempts: dict[tuple[str, int], list] = {}
    for run in collect_runs(cluster, loop_time()):
        attempts.setdefault((run.job_id, run.attempt), []).append(run)
    totals.doubles += len(find_overlapping_attempts(attempts))
    totals.partial_s = max([totals.partial_s, *map(partial_gang_s, attempts.values())])


async def _kill_owner(cluster: Cluster) -> float:
    (await cluster.wait_owner()).kill()
    return await _stall_s(cluster, 60)


async def _pause_owner(cluster: Cluster) -> float:
    owner = await cluster.wait_owner()
    owner.pause()
    stalled_s = await _stall_s(cluster, 60)
    owner.resume()
    return stalled_s + await _stall_s(cluster, 60)


async def _stop_log(cluster: Cluster) -> float:
    cluster.set_log_outage(True)
    stalled_s = await _stall_s(cluster, HOUR_S)
    cluster.set_log_outage(False)
    return stalled_s + await _stall_s(cluster, 60)


async def _cut_owner(cluster: Cluster) -> float:
    cluster.set_log_outage(True, await cluster.wait_owner())
    return await _stall_s(cluster, 60)


async def _stall_s(cluster: Cluster, span_s: float) -> float:
    """Return for how much of a span no entry could start a job that may run again."""
    stalled = 0
    for _ in range(int(span_s / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        stalled += not any(_may_start(entry) for entry in cluster.entries)
    return stalled * SAMPLE_S


def _may_start(entry: object) -> bool:
    runs = entry.process_state.running.is_set() and not entry.process_state.killed
    if not runs or entry.jobs.owner.term is None:
        return False
    lease_state = entry.jobs.ownership.lease_state()
    return lease_state is LeaseState.PEER_CONFIRMED or (
        lease_state is LeaseState.LOGGED and not entry.log.faults.outage
    )


async def _part_gang(totals: Totals) -> None:
    """Cut one member's agent from every entry and let the rest of the gang be stopped."""
    async with Cluster(entries=2, workers=4) as cluster:
        job_id = await cluster.submit(await cluster.wait_owner(), tasks=3, command="500")
        await cluster.wait_running(job_id)
        await asyncio.sleep(30)
        for address in cluster.addresses:
            cluster.agents[0].network.cut(address)
        await asyncio.sleep(150)
        _count(cluster, totals)


async def _start_urgent() -> float:
    """Return the time from the submission of a gang of 64 until every task runs."""
    async with Cluster(entries=2, workers=64) as cluster:
        cluster.network.latency_s = 0.008
        owner = await cluster.wait_owner()
        for entry in cluster.entries:
            entry.log.faults.delay_s = 0.016
        await asyncio.sleep(10)
        begun_s = loop_time()
        job_id = await cluster.submit(owner, tasks=64, command="60")
        await cluster.wait_running(job_id)
        return loop_time() - begun_s


def _measure_takeover() -> list[Figure]:
    figures = []
    messages = {}
    for size in SIZES:
        begun_s = time.process_time()
        stalled_s, messages[size] = _on_virtual_time(_take_over(size))
        spent_s = time.process_time() - begun_s
        figures.append(_figure(f"recovery after a killed owner, {size} agents", stalled_s, "s"))
        figures.append(_figure(f"messages of the new owner, {size} agents", messages[size], ""))
        figures.append(_figure(f"processor time of the whole scene, {size} agents", spent_s, "s"))
    growth = messages[SIZES[-1]] / messages[SIZES[0]]
    bound = Bound("<=", SIZES[-1] / SIZES[0])
    figures.append(_figure("growth of messages over growth of agents x8", growth, "x", bound))
    return figures


async def _take_over(size: int) -> tuple[float, int]:
    """Return how long a region is without decisions, and the orders of the new owner until then."""
    async with Cluster(entries=2, workers=size, create_scheduler=FirstFitScheduler) as cluster:
        owner = await cluster.wait_owner()
        for _ in range(size // 5):
            await cluster.submit(owner, tasks=5, command="900")
        await asyncio.sleep(10)
        other = next(entry for entry in cluster.entries if entry is not owner)
        before = other.jobs.gang_client.messages_sent
        begun_s = loop_time()
        owner.kill()
        await cluster.wait_owner(other_than=owner)
        while not other.jobs.owner.term.attempts:
            await asyncio.sleep(0.05)
        return loop_time() - begun_s, other.jobs.gang_client.messages_sent - before


def _figure(name: str, value: float, unit: str, bound: Bound | None = None) -> Figure:
    return Figure("ownership", name, float(value), unit, bound)


def _on_virtual_time(scene):  # noqa: ANN001, ANN202
    loop = looptime.new_event_loop(noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scene)
    finally:
        loop.close()
        asyncio.set_event_loop(None)

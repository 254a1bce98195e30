"""Guarantees to callers under faults, routing, control traffic and overhead of the entry."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import looptime

from bench import request_path
from bench.figures import Bound, Figure
from briardeal_core.reasons import Reason
from briardeal_standins.endpoint import Fault
from briardeal_standins.site import FAULTS, Site, send_load
from tests.checkers.requests import find_violations

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from briardeal.membership import AgentEntry
    from briardeal_standins.site import Call

GROUP = "requests"
LEAVING_LIMIT_S = 3.0
AGENT_LEASE_S = 3.0
CONTROL_LIMIT_BYTES_S = 3000
ENTRIES = 3
ENDPOINTS = 11
SLOTS = 8
FAULT_SEEDS = range(20)
VIOLATION_FIGURES = {
    "over-admission": "over-admissions",
    "double run": "double runs of non-idempotent requests",
    "wrong not_run": "requests told as not run that ran",
}
"""Names of the figures by the first words of the violations that they count."""


def measure() -> list[Figure]:
    """Return all figures of requests."""
    figures = _measure_faults()
    figures += _run_virtual(_measure_shutdown())
    figures += _run_virtual(_measure_leaving())
    figures += _run_virtual(_measure_silence())
    figures += _measure_wasted_retries()
    figures += _run_virtual(_measure_control(0))
    figures += _run_virtual(_measure_control(1))
    return figures + request_path.measure()


class RoundRobin:
    """Chooses endpoints in turn, regardless of the outcomes of earlier requests."""

    def __init__(self) -> None:
        self.position = 0

    def choose(self, agents: list[AgentEntry], may_probe: bool) -> AgentEntry | None:
        """Return the next agent in the order of their identifiers."""
        if not agents:
            return None
        self.position += 1
        return sorted(agents, key=lambda agent: agent.agent_id)[self.position % len(agents)]


def _measure_faults() -> list[Figure]:
    violations, sent, answered = [], 0, 0
    for seed in FAULT_SEEDS:
        site = _run_virtual(_run_with_faults(seed))
        violations += find_violations(site)
        sent += len({call.body for call in site.calls})
        answered += len({call.body for call in site.calls if call.outcome == "answer"})
    figures = [
        _expect_zero(text, sum(line.startswith(prefix) for line in violations))
        for prefix, text in VIOLATION_FIGURES.items()
    ]
    other_violations = sum(not line.startswith(tuple(VIOLATION_FIGURES)) for line in violations)
    figures.append(_expect_zero("other broken promises", other_violations))
    figures.append(Figure(GROUP, "requests under pairs of faults", sent, "requests"))
    figures.append(Figure(GROUP, "share of them answered", 100 * answered / sent, "%"))
    return figures


async def _run_with_faults(seed: int) -> Site:
    rng = random.Random(seed)
    site = Site(ENTRIES, 3, seed, 4, lambda: rng.expovariate(1 / 0.15))
    async with site:

        async def inject_fault(delay_s: float, number: int) -> None:
            await asyncio.sleep(delay_s)
            await FAULTS[number](site)

        first, second = rng.sample(range(len(FAULTS)), 2)
        await asyncio.gather(
            send_load(site, duration_s=6, requests_per_s=60, keyed_share=0.4),
            inject_fault(rng.uniform(0.5, 2), first),
            inject_fault(rng.uniform(0.5, 2), second),
        )
    return site


async def _measure_shutdown() -> list[Figure]:
    site = Site(ENTRIES, 6, 1, SLOTS, lambda: 0.2)
    async with site:
        await asyncio.gather(
            send_load(site, duration_s=12, requests_per_s=40, keyed_share=0.4),
            _shut_down_one_by_one(site),
        )
        failed = [call for call in site.calls if call.outcome != "answer"]
        cut = sum(call.reason != Reason.KEY_IN_USE.code for call in failed)
    text = "requests cut or refused as entry, agent and endpoint shut down"
    return [_expect_zero(text, cut), _count_calls(site.calls)]


async def _shut_down_one_by_one(site: Site) -> None:
    await asyncio.sleep(1)
    await site.running["entry-0"].drain()
    await asyncio.sleep(1)
    await site.agents["vm-0"].stop()
    await asyncio.sleep(1)
    site.vms["vm-1"].leave()


async def _measure_leaving() -> list[Figure]:
    site = Site(ENTRIES, 3, 1, SLOTS, lambda: 0.1)
    async with site:
        traffic = asyncio.create_task(send_load(site, duration_s=8, requests_per_s=100))
        await asyncio.sleep(2)
        site.vms["vm-0"].leave()
        await traffic
        last_s = max(site.vms["vm-0"].dispatched_s) - site.vms["vm-0"].leaving_since_s
    text = "time until a leaving endpoint gets nothing new"
    return [_limit_seconds(text, max(0.0, last_s), LEAVING_LIMIT_S)]


async def _measure_silence() -> list[Figure]:
    site = Site(1, 3, 1, SLOTS, lambda: 0.1)
    async with site:
        traffic = asyncio.create_task(send_load(site, duration_s=2.9, requests_per_s=100))
        await asyncio.sleep(0.5)
        silent_s = asyncio.get_running_loop().time()
        site.silence_link("vm-0", "entry-0")
        await traffic
        last_s = max(0.0, max(site.vms["vm-0"].dispatched_s) - silent_s)
        while "vm-0" in site.running["entry-0"].agent_table.agents:
            await asyncio.sleep(0.01)
        removed_s = asyncio.get_running_loop().time() - silent_s
        late_s = max(call.ended_s - call.deadline_s for call in site.calls)
    return [
        _limit_seconds(
            "time until a silent agent's endpoint gets nothing new", last_s, AGENT_LEASE_S
        ),
        Figure(GROUP, "time until a silent connection is given up", removed_s, "s"),
        _limit_seconds("longest that a caller was kept past its deadline", max(0.0, late_s), 0.1),
    ]


def _measure_wasted_retries() -> list[Figure]:
    wasted, requests = _run_virtual(_count_wasted(round_robin=False))
    wasted_by_round_robin, _ = _run_virtual(_count_wasted(round_robin=True))
    unit = "/1000 req"
    ratio = wasted / wasted_by_round_robin
    return [
        Figure(GROUP, "wasted attempts, 1 of 11 endpoints failing", 1000 * wasted / requests, unit),
        Figure(
            GROUP, "the same by plain round robin", 1000 * wasted_by_round_robin / requests, unit
        ),
        Figure(GROUP, "wasted attempts against round robin", ratio, "ratio", Bound("<=", 1.0)),
    ]


async def _count_wasted(*, round_robin: bool) -> tuple[int, int]:
    rng = random.Random(5)
    site = Site(ENTRIES, ENDPOINTS, 5, SLOTS, lambda: rng.expovariate(1 / 0.2))
    async with site:
        if round_robin:
            for entry in site.running.values():
                entry.router.slot_finder.chooser = RoundRobin()
        site.vms["vm-0"].fault = Fault.FAIL_FAST
        await send_load(site, duration_s=15, requests_per_s=200)
    return len(site.vms["vm-0"].runs), len(site.calls)


async def _measure_control(per_second: int) -> list[Figure]:
    seconds = 20.0
    site = Site(ENTRIES, 4, 1, SLOTS)
    async with site:
        before = _control_bytes(site)
        if per_second:
            await send_load(site, duration_s=seconds, requests_per_s=per_second * len(site.vms))
        else:
            await asyncio.sleep(seconds)
        rate = (_control_bytes(site) - before) / len(site.vms) / seconds
    load = f"{per_second} request/s" if per_second else "idle"
    text = f"control bytes of an agent with {ENTRIES} entries, {load}"
    return [Figure(GROUP, text, rate, "B/s", Bound("<=", CONTROL_LIMIT_BYTES_S))]


def _control_bytes(site: Site) -> int:
    # Each message is counted once, at its sender.
    return sum(connection.bytes_sent for connection in site.network.connections)


def _run_virtual(work: Coroutine[None, None, object]) -> object:
    loop = looptime.new_event_loop(start=0, noop_cycles=1)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()


def _expect_zero(text: str, count: int) -> Figure:
    return Figure(GROUP, text, count, "", Bound("==", 0))


def _limit_seconds(text: str, value: float, limit_s: float) -> Figure:
    return Figure(GROUP, text, value, "s", Bound("<=", limit_s))


def _count_calls(calls: list[Call]) -> Figure:
    return Figure(GROUP, "requests sent meanwhile", len(calls), "calls")

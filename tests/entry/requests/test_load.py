"""Overload is refused early, shares are respected, and failing endpoints get few requests."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal.membership import AgentEntry
from briardeal.requests import EndpointHealth, HealthState, RegionalChooser
from briardeal_core.configuration import Configuration, Customer
from briardeal_protocol.messages import AgentHello, EndpointState
from briardeal_standins.endpoint import Fault
from briardeal_standins.site import Site
from tests.checkers.requests import find_violations

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def send_steadily(site, customer, interval_s, count):
    """Send requests of one customer at a fixed interval, through all entries in turn."""
    names = sorted(site.running)
    sending = []
    for number in range(count):
        await asyncio.sleep(interval_s)
        body = f"{customer}-{number}".encode()
        call = site.send(names[number % len(names)], body, customer=customer, timeout_s=10)
        sending.append(asyncio.create_task(call))
    return await asyncio.gather(*sending)


async def test_customer_within_its_share_is_not_refused_during_a_burst_of_another():
    async with Site(entries=2, endpoints=3, slots=4, work_s=lambda: 0.5) as site:
        customers = (Customer(name="audit", request_share=0.25), Customer(name="desk"))
        for entry in site.running.values():
            entry.router.set_configuration(Configuration(customers=customers))
        desk = asyncio.create_task(send_steadily(site, "desk", 0.01, 600))
        await asyncio.sleep(1)
        audit = await send_steadily(site, "audit", 0.2, 25)
        assert {call.outcome for call in audit} == {"answer"}
        assert "endpoints_busy" in {call.reason for call in await desk}


async def test_overload_is_refused_early_with_retry_after():
    async with Site(entries=1, endpoints=1, slots=2, work_s=lambda: 0.5) as site:
        loop = asyncio.get_running_loop()
        calls = await send_steadily(site, "desk", 0.02, 400)
        refused = [call for call in calls if call.reason == "endpoints_busy"]
        assert len(refused) > len(calls) / 2
        assert all(call.retry_after_s > 0 for call in refused)
        waited_s = sorted(call.ended_s - (call.deadline_s - 10) for call in refused)
        assert waited_s[len(waited_s) // 2] < 0.1
        assert loop.time() < 5 + 8 + 3
        assert find_violations(site) == []


async def test_endpoint_that_fails_fast_is_ejected_and_rarely_probed():
    async with Site(entries=1, endpoints=4, slots=2, work_s=lambda: 0.08) as site:
        site.vms["vm-0"].fault = Fault.FAIL_FAST
        calls = await send_steadily(site, "audit", 0.02, 1000)
        assert {call.outcome for call in calls} == {"answer"}
        wasted = len(site.vms["vm-0"].runs)
        assert wasted <= 3 + 2 + 4
        site.vms["vm-0"].fault = Fault.NONE
        await send_steadily(site, "audit", 0.02, 1500)
        assert len(site.vms["vm-0"].runs) > 100


async def test_retries_are_bounded_when_all_endpoints_fail():
    async with Site(entries=1, endpoints=3) as site:
        for vm in site.vms.values():
            vm.fault = Fault.CUT
        calls = await send_steadily(site, "audit", 0.1, 200)
        runs = sum(len(vm.runs) for vm in site.vms.values())
        assert {call.outcome for call in calls} == {"unknown"}
        assert runs <= len(calls) * 1.1 + 10


def make_agent(region, slots_in_use):
    endpoint = EndpointState(
        service="sampling", address="10.0.0.1:80", incarnation=1, slots=8, connections=64
    )
    name = f"{region}-{slots_in_use}"
    hello = AgentHello(agent_id=name, incarnation=1, region=region, failure_domain="f")
    return AgentEntry(hello, None, endpoint, 0.0, others_in_use=slots_in_use)


def test_chooser_prefers_the_own_region_then_the_least_load():
    rng = random.Random(1)
    chooser = RegionalChooser("maribor", EndpointHealth(lambda: 0.0, rng), rng)
    far, busy, idle = make_agent("koper", 0), make_agent("maribor", 6), make_agent("maribor", 2)
    assert chooser.choose([far, busy, idle], True) is idle
    assert chooser.choose([far], True) is far
    assert chooser.choose([], True) is None


def test_requests_that_fail_everywhere_eject_at_most_two_of_five():
    health = EndpointHealth(lambda: 0.0, random.Random(1))
    names = [f"vm-{number}" for number in range(5)]
    for _ in range(20):
        for name in names:
            health.begin_request(name)
            health.record_outcome(name, True, names)
    assert sum(health.state(name) is HealthState.HEALTHY for name in names) >= 3

"""Slots are never exceeded or leaked, and requests are sent and answered in time."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_agent.permits import START_WITHIN_S
from briardeal_standins.endpoint import Fault
from briardeal_standins.site import Site
from tests.checkers.requests import find_violations

pytestmark = pytest.mark.looptime(noop_cycles=1)

LEASE_S = 3.0


async def send_concurrently(site, count, **options):
    """Send requests concurrently, through all entries in turn."""
    names = sorted(site.running)
    calls = [site.send(names[n % len(names)], f"{n}".encode(), **options) for n in range(count)]
    return await asyncio.gather(*calls)


async def test_restarted_agent_does_not_grant_slots_in_use():
    async with Site(entries=2, endpoints=1, slots=4, work_s=lambda: 8.0) as site:
        first = asyncio.create_task(send_concurrently(site, 4, timeout_s=20))
        await asyncio.sleep(1)
        site.kill_agent("vm-0")
        await site.start_agent("vm-0")
        await asyncio.sleep(3)
        refused = await send_concurrently(site, 4, timeout_s=1)
        assert {call.reason for call in refused} <= {"endpoints_busy", "deadline_passed"}
        assert [call.outcome for call in await first] == ["answer"] * 4
        assert find_violations(site) == []


async def test_restarted_agent_waits_until_old_grants_expire():
    async with Site(entries=1, endpoints=1) as site:
        site.kill_agent("vm-0")
        agent = await site.start_agent("vm-0")
        for _ in range(2):
            site.vms["vm-0"].announce()
            await asyncio.sleep(START_WITHIN_S / 2)
        assert agent.endpoint_state() is None
        await asyncio.sleep(2)
        assert agent.endpoint_state() is not None


async def test_timed_out_request_holds_its_slot_while_it_runs():
    async with Site(entries=2, endpoints=1, slots=2, work_s=lambda: 6.0) as site:
        timed_out = await send_concurrently(site, 2, timeout_s=1)
        assert [call.outcome for call in timed_out] == ["unknown"] * 2
        assert {call.outcome for call in await send_concurrently(site, 2, timeout_s=1)} == {
            "not_run"
        }
        await asyncio.sleep(6)
        assert site.agents["vm-0"].permits.held == {}
        assert find_violations(site) == []


async def test_slot_is_freed_when_the_grant_is_lost():
    async with Site(entries=1, endpoints=1) as site:
        link = site.agents["vm-0"].links.links["entry-0:1"]
        link.connection.silent = True
        call = await site.send("entry-0", b"1")
        assert (call.outcome, call.reason) == ("not_run", "agent_silent")
        await asyncio.sleep(0.01)
        assert site.agents["vm-0"].permits.held == {}


async def test_delayed_entry_does_not_send_after_its_permit_expired():
    async with Site(entries=1, endpoints=1) as site:
        site.clients["entry-0"].resumed.clear()
        sending = asyncio.create_task(site.send("entry-0", b"1", key=site.issue_key("entry-0")))
        await asyncio.sleep(2)
        site.clients["entry-0"].resumed.set()
        assert (await sending).outcome == "answer"
        assert len(site.vms["vm-0"].runs) == 1
        retries = site.running["entry-0"].metrics.retries
        assert retries.get({"reason": "entry_delayed"}) == 1


async def test_permit_of_an_old_incarnation_is_not_used_for_the_new_one():
    async with Site(entries=1, endpoints=1) as site:
        site.clients["entry-0"].resumed.clear()
        sending = asyncio.create_task(site.send("entry-0", b"1", timeout_s=0.5))
        await asyncio.sleep(0.1)
        site.vms["vm-0"].kill()
        site.vms["vm-0"].start()
        site.clients["entry-0"].resumed.set()
        call = await sending
        assert [run.incarnation for run in site.vms["vm-0"].runs] in ([], [2])
        assert find_violations(site) == []
        assert call.outcome in {"answer", "not_run"}


async def test_run_state_includes_an_earlier_attempt_that_may_have_run():
    async with Site(entries=1, endpoints=1) as site:
        site.vms["vm-0"].fault = Fault.CUT
        sending = asyncio.create_task(site.send("entry-0", b"1"))
        await asyncio.sleep(0.055)
        site.vms["vm-0"].leave()
        assert (await sending).outcome == "unknown"
        assert len(site.vms["vm-0"].runs) >= 1


@pytest.mark.parametrize("how", ["endpoint", "agent"])
async def test_leaving_endpoint_finishes_its_requests_and_gets_no_new_ones(how):
    async with Site(entries=2, endpoints=2, work_s=lambda: 1.0) as site:
        before = asyncio.create_task(send_concurrently(site, 8))
        await asyncio.sleep(0.2)
        left_s = site.vms["vm-0"].leaving_since_s = asyncio.get_running_loop().time()
        if how == "endpoint":
            site.vms["vm-0"].leave()
            stopping = None
        else:
            stopping = asyncio.create_task(site.agents["vm-0"].stop())
        await asyncio.sleep(0.01)
        after = await send_concurrently(site, 6)
        assert {call.outcome for call in await before + after} == {"answer"}
        assert max(site.vms["vm-0"].dispatched_s) <= left_s + 0.01
        if stopping is not None:
            await stopping


async def test_silent_agent_is_unused_after_its_lease_until_it_reconnects():
    async with Site(entries=1, endpoints=2) as site:
        started_s = asyncio.get_running_loop().time()
        site.silence_link("vm-0", "entry-0")
        await asyncio.sleep(LEASE_S)
        calls = await send_concurrently(site, 10)
        assert {call.outcome for call in calls} == {"answer"}
        assert [s for s in site.vms["vm-0"].dispatched_s if s > started_s + LEASE_S] == []
        await asyncio.sleep(2 * LEASE_S)
        await send_concurrently(site, 10)
        assert max(site.vms["vm-0"].dispatched_s) > started_s + 2 * LEASE_S


async def test_draining_entry_answers_accepted_requests_and_refuses_later_ones():
    async with Site(entries=1, endpoints=1, work_s=lambda: 3.0) as site:
        held = asyncio.create_task(send_concurrently(site, 4, timeout_s=10))
        await asyncio.sleep(0.1)
        draining = asyncio.create_task(site.running["entry-0"].drain())
        await asyncio.sleep(1)
        assert not site.running["entry-0"].ready
        during = asyncio.create_task(site.send("entry-0", b"during", timeout_s=10))
        await asyncio.sleep(1.5)
        late = await site.send("entry-0", b"late")
        assert (late.outcome, late.reason) == ("not_run", "shutting_down")
        await draining
        assert (await during).outcome == "answer"
        assert {call.outcome for call in await held} == {"answer"}

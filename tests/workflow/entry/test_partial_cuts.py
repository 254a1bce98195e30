"""Partial cuts of the network neither leave jobs without an owner nor let owners alternate."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import StoreFault, TaskBehavior
from briardeal_workflow.worker import WorkerAgent
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

START_LIMIT_S = 3.0
TAKEOVER_LIMIT_S = 1.8
"""Time from the loss of an owner to the claim of another entry."""


@pytest.mark.parametrize("reached", [0, 2])
async def test_owner_that_few_agents_reach_is_replaced(reached):
    # Guards against an owner that only entries and the store reach, while all jobs stand still.
    async with run_site() as site:
        owner, other, _ = await settle(site)
        site.network.cut_off([owner], list(site.vms)[reached:])
        claims = count_claims(site)
        await asyncio.sleep(8.0)
        assert count_claims(site) == claims + 1
        assert site.owner_name() != owner
        await assert_job_starts(site, other, tasks=6)
        await asyncio.sleep(20.0)
        assert count_claims(site) == claims + 1


async def test_owner_whose_messages_to_agents_are_lost_is_replaced():
    # Guards against an owner that hears agents for as long as their connections last.
    async with run_site() as site:
        owner, other, _ = await settle(site)
        for connection in site.network.connections[1::2]:
            if connection.client in site.vms and connection.address == site.address_of(owner):
                connection.silent = True
        await asyncio.sleep(1.4)
        # Without answers no new connection can be opened either.
        site.network.cut_off([owner], site.vms)
        await asyncio.sleep(6.0)
        assert site.owner_name() != owner
        await assert_job_starts(site, other, tasks=6)


@pytest.mark.parametrize("cut", ["owner and agents", "agents"])
async def test_entry_that_hears_no_agent_leaves_the_takeover_to_one_that_does(cut):
    # Guards against a new owner that no agent reaches.
    async with run_site() as site:
        owner, alone, other = await settle(site)
        site.network.cut_off([alone], site.vms)
        if cut == "owner and agents":
            site.network.cut_off([alone], [owner])
        await asyncio.sleep(4.0)
        site.entry(other).election._delay_s = 0.3
        site.entry(alone).election._delay_s = 0.0
        await site.kill(owner)
        await asyncio.sleep(2.0)
        assert site.owner_name() == other
        await assert_job_starts(site, other)


@pytest.mark.parametrize("unheard", [1, 2])
async def test_owner_that_agents_hear_stays_when_other_entries_do_not_hear_it(unheard):
    # Guards against owners that replace each other for as long as a cut lasts.
    async with run_site() as site:
        owner, *others = await settle(site)
        claims = count_claims(site)
        site.network.cut_off([owner], others[:unheard])
        await asyncio.sleep(1.0)
        await site.kill("vm-0")
        site.vms["vm-0"].kill()
        await asyncio.sleep(20.0)
        await assert_job_starts(site, others[0], tasks=4)
        assert count_claims(site) == claims


@pytest.mark.parametrize(("outage_s", "claim_limit"), [(2.0, 0), (5.0, 0), (9.0, 1)])
async def test_outage_of_the_whole_store_causes_claims_only_if_the_owner_lease_expires(
    outage_s, claim_limit
):
    # Guards against a claim of an entry that does not hear the owner, right after the outage.
    async with run_site() as site:
        owner, other, _ = await settle(site)
        site.network.cut_off([owner], [other])
        await asyncio.sleep(5.0)
        claims = count_claims(site)
        site.store.faults[""] = StoreFault.SILENT
        await asyncio.sleep(outage_s)
        site.store.faults.clear()
        await asyncio.sleep(8.0)
        assert count_claims(site) - claims <= claim_limit
        await assert_job_starts(site, other)


async def test_owner_without_the_store_is_replaced_by_an_entry_that_does_not_hear_it():
    # Guards against agents that vouch for an owner which learns of no new job.
    async with run_site(entries=2) as site:
        owner, other = await settle(site)
        site.network.cut_off([owner], [other])
        await asyncio.sleep(5.0)
        site.store.faults[owner] = StoreFault.REFUSES
        await wait_until(lambda: site.entry(other).election.is_owner, 4.0)
        await asyncio.sleep(1.0)
        await assert_job_starts(site, other)


@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3])
async def test_entry_that_reaches_the_store_only_does_not_claim(phase_s):
    # Guards against an owner without agents each time that an isolated entry claims.
    async with run_site() as site:
        owner, alone, other = await settle(site)
        await asyncio.sleep(phase_s)
        site.entry(alone).election._delay_s = 0.0
        claims = count_claims(site)
        site.network.cut_off([alone], [owner, other, *site.vms])
        await asyncio.sleep(1.0)
        await site.kill("vm-0")
        site.vms["vm-0"].kill()
        await asyncio.sleep(15.0)
        await assert_job_starts(site, other, tasks=4)
        assert count_claims(site) == claims


@pytest.mark.parametrize("phase_s", [0.0, 0.1, 0.2, 0.3])
async def test_entry_does_not_claim_when_agents_are_connected_again(phase_s):
    # Guards against a claim when the first agent connects, before it has said anything.
    async with run_site() as site:
        owner, alone, other = await settle(site)
        claims = count_claims(site)
        site.network.cut_off([alone], [owner, other, *site.vms])
        await asyncio.sleep(16.0 + phase_s)
        site.network.cuts.clear()
        site.network.cut_off([alone], [owner, other])
        await asyncio.sleep(5.0)
        assert count_claims(site) == claims


async def test_entry_that_reaches_the_store_only_claims_ever_more_rarely():
    async with run_site() as site:
        owner, alone, other = await settle(site)
        claims = count_claims(site)
        site.network.cut_off([alone], [owner, other, *site.vms])
        await asyncio.sleep(200.0)
        assert count_claims(site) - claims <= 6
        assert site.owner_name() != alone


async def test_entry_that_hears_agents_but_no_entry_does_not_claim():
    # Guards against turns of two entries that both reach all agents.
    async with run_site() as site:
        owner, alone, other = await settle(site)
        claims = count_claims(site)
        site.network.cut_off([alone], [owner, other])
        job = make_job(small_step(4))
        assert await site.submit(job, TaskBehavior(10.0), alone)
        await asyncio.sleep(20.0)
        await assert_job_starts(site, alone)
        assert count_claims(site) == claims


@pytest.mark.parametrize("vms", [1, 2])
async def test_entry_and_few_vms_that_are_cut_off_together_do_not_take_turns_with_the_rest(vms):
    # Guards against takeovers every 1.5 s between two parts that both reach the store.
    async with run_site() as site:
        owner, alone, other = await settle(site)
        claims = count_claims(site)
        names = list(site.vms)
        site.network.cut_off([alone, *names[:vms]], [owner, other, *names[vms:]])
        await asyncio.sleep(30.0)
        assert count_claims(site) - claims <= 6
        site.reconnect_all()
        await asyncio.sleep(12.0)
        await assert_job_starts(site, other)


async def test_entry_that_did_not_hear_the_owner_takes_over_soon_after_its_loss():
    # Guards against an entry that takes the last words of agents for a sign of life.
    async with run_site(entries=2) as site:
        owner, other = await settle(site)
        site.network.cut_off([owner], [other])
        await asyncio.sleep(10.0)
        site.isolate([owner])
        began_s = loop_time()
        while not site.entry(other).election.is_owner:
            await asyncio.sleep(0.02)
        assert loop_time() - began_s < TAKEOVER_LIMIT_S
        await asyncio.sleep(1.0)
        job = make_job(whole_vm_step())
        assert await site.submit(job, TaskBehavior(1.0), other)
        await wait_until(lambda: job.job_id in site.checker.first_start_s, START_LIMIT_S)


async def test_owner_that_plans_nothing_is_replaced_by_an_entry_that_does_not_hear_it():
    # Guards against agents that vouch for an owner which acknowledges and starts nothing.
    async with run_site(entries=2) as site:
        owner, other = await settle(site)
        site.network.cut_off([owner], [other])
        await asyncio.sleep(5.0)
        site.entry(owner).progress.record_round = lambda _: None
        await wait_until(lambda: site.entry(other).election.is_owner, 5.0)
        await asyncio.sleep(1.0)
        await assert_job_starts(site, other)


async def test_agents_that_return_find_an_owner_after_the_owner_and_all_agents_were_lost():
    # Guards against entries that wait for one that hears more agents when none hears any.
    async with run_site() as site:
        owner, other, _ = await settle(site)
        site.isolate([owner])
        for name in site.vms:
            await site.kill(name)
        await asyncio.sleep(5.0)
        for name in site.vms:
            site.start_process(name)
        await asyncio.sleep(START_LIMIT_S)
        assert site.entry(other).election.epoch > 1
        site.reconnect_all()
        await asyncio.sleep(12.0)
        await assert_job_starts(site, other)


async def test_owner_is_replaced_soon_after_its_loss_with_agents_of_an_earlier_version(monkeypatch):
    # Guards against a takeover that waits for what such agents never say.
    monkeypatch.setattr(WorkerAgent, "_owner_age_ms", lambda _: -1)
    async with run_site() as site:
        owner, other, _ = await settle(site)
        site.isolate([owner])
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert site.entry(other).election.owner.entry_id != owner


async def test_calm_deployment_keeps_its_owner():
    async with run_site() as site:
        await settle(site)
        claims = count_claims(site)
        for _ in range(20):
            await assert_job_starts(site, site.entry_names[0], tasks=6)
            await asyncio.sleep(3.0)
        assert count_claims(site) == claims


async def settle(site):
    """Wait until all agents have reported; return the owner's name and those of the others."""
    await asyncio.sleep(3.0)
    owner = await site.wait_for_owner()
    return owner, *(name for name in site.entry_names if name != owner)


async def assert_job_starts(site, entry, tasks=1):
    """Check that all tasks of a new job start soon after an entry has accepted it."""
    job = make_job(whole_vm_step(tasks))
    count = site.checker.start_count
    assert await site.submit(job, TaskBehavior(1.0), entry)
    await wait_until(lambda: site.checker.start_count >= count + tasks, START_LIMIT_S)


async def wait_until(condition, limit_s):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.02)


def count_claims(site):
    return sum('"owner_claims"' in line for line in site.logs.lines)

"""An entry that owns the jobs without planning them is replaced by one that can plan."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import StoreFault, TaskBehavior
from briardeal_workflow.store import OutOfReach, Trimmed
from tests.workflow.samples import make_job, whole_vm_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime

START_LIMIT_S = 3.0


async def test_restarted_entry_that_cannot_read_the_jobs_does_not_own_them():
    # Guards against jobs without a planner while the owner's heartbeats say that all is well.
    async with run_site(entries=2) as site:
        owner = await site.wait_for_owner()
        (other,) = (name for name in site.entry_names if name != owner)
        site.store.late_pages.add("jobs")
        hold_back_claims(site.entry(other).election)
        await restart_processes(site, [owner], down_s=0.5)
        await asyncio.sleep(2.0)
        del site.entry(other).election._claim_cause
        await assert_job_starts(site, other)


async def test_owner_whose_reader_of_jobs_stands_still_is_replaced():
    # Guards against accepted jobs of which the owner never learns.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.entry_names if name != owner)
        await asyncio.sleep(3.0)
        site.entry(owner).job_follower.store = LateStore()
        await asyncio.sleep(2.0)
        await assert_job_starts(site, other)
        assert site.owner_name() != owner


async def test_owner_whose_reader_of_claims_stands_still_is_replaced():
    # Guards against an owner that plans but can't accept any VM, as it can't store its list.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.entry_names if name != owner)
        await asyncio.sleep(3.0)
        site.entry(owner).election.follower.store = LateStore()
        await asyncio.sleep(2.0)
        await restart_processes(site, list(site.vms), down_s=8.0)
        await asyncio.sleep(3.0)
        await assert_job_starts(site, other)


async def test_entry_whose_reader_of_jobs_stands_still_does_not_own_them():
    # Guards against an owner that waits for its reader while all others wait for the owner.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        slow, other = (name for name in site.entry_names if name != owner)
        await asyncio.sleep(3.0)
        site.entry(slow).job_follower.store = LateStore()
        hold_back_claims(site.entry(other).election)
        await asyncio.sleep(1.5)
        assert await site.submit(make_job(), TaskBehavior(1.0), other)
        await site.kill(owner)
        await asyncio.sleep(3.0)
        del site.entry(other).election._claim_cause
        await assert_job_starts(site, other)


async def test_leaving_owner_does_not_hand_over_to_an_entry_that_cannot_plan():
    # Guards against jobs without an owner while the only other entry reads them.
    async with run_site(entries=2) as site:
        owner = await site.wait_for_owner()
        (other,) = (name for name in site.entry_names if name != owner)
        reader = site.entry(other).job_follower
        store, reader.store = reader.store, LateStore()
        await asyncio.sleep(5.0)
        site.entry(owner).election.leaving = True
        await asyncio.sleep(1.0)
        await assert_job_starts(site, owner)
        reader.store = store
        await asyncio.sleep(2.5)
        assert site.owner_name() == other


async def test_owner_that_has_not_read_the_jobs_is_replaced():
    # Guards against an elected entry that others take for a healthy owner before it can plan.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        slow, other = (name for name in site.entry_names if name != owner)
        await asyncio.sleep(3.0)
        let_wait_for_jobs(site.entry(slow))
        hold_back_claims(site.entry(other).election)
        await asyncio.sleep(1.5)
        assert await site.submit(make_job(), TaskBehavior(1.0), other)
        await site.kill(owner)
        await asyncio.sleep(1.0)
        assert site.entry(slow).election.is_owner
        del site.entry(other).election._claim_cause
        await assert_job_starts(site, other)


async def test_new_owner_that_reads_late_pages_of_starts_is_not_replaced():
    # Guards against claims in turns while each new owner needs time for its first round.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        other = next(name for name in site.entry_names if name != owner)
        job = make_job(whole_vm_step(1))
        assert await site.submit(job, TaskBehavior(20.0), owner)
        await site.wait_for_state(job.job_id, "running", 3.0)
        epoch = site.entry(other).election.epoch
        site.store.late_pages.add("starts")
        await site.kill(owner)
        await asyncio.sleep(5.0)
        assert site.entry(other).election.epoch == epoch + 1
        await assert_job_starts(site, other)


async def test_owners_that_cannot_plan_replace_each_other_ever_more_slowly():
    # Guards against claims in turns of entries that have the same trouble.
    async with run_site(entries=2) as site:
        await site.wait_for_owner()
        await asyncio.sleep(3.0)
        for name in site.entry_names:
            let_wait_for_jobs(site.entry(name))
            await restart_processes(site, [name], down_s=0.0)
            let_wait_for_jobs(site.entry(name))
        claims = count_claims(site)
        await asyncio.sleep(60.0)
        assert 2 <= count_claims(site) - claims <= 10


async def test_owner_whose_lease_is_never_confirmed_is_replaced():
    # Guards against an owner that plans nothing although none of its appends fails.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(3.0)
        site.entry(owner).owner.writer.confirm = wait_for_ever
        site.entry(owner).owner.writer.append = wait_for_ever
        await asyncio.sleep(6.0)
        other = next(name for name in site.entry_names if name != owner)
        await assert_job_starts(site, other)


async def test_vm_that_reads_nothing_does_not_hold_up_orders_to_others():
    # Guards against a planner that waits for one message to be written.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        stall(site, owner, "vm-0")
        epoch = site.entry(owner).election.epoch
        await assert_job_starts(site, owner, tasks=6, started=5)
        await assert_job_starts(site, owner)
        assert site.entry(owner).election.epoch == epoch


async def test_agents_whose_entry_reads_nothing_go_on_reporting():
    # Guards against VMs that no owner knows any more, as their agents wait for one write.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        for connection in site.network.connections[::2]:
            if connection.client in site.vms and connection.address == site.address_of(owner):
                connection.stalled = True
        await asyncio.sleep(5.0)
        await assert_job_starts(site, owner)


async def test_vm_that_reads_nothing_does_not_hold_up_a_takeover():
    # Guards against a new owner that waits for its announcement to one agent.
    async with run_site() as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        others = [name for name in site.entry_names if name != owner]
        for name in others:
            stall(site, name, "vm-0")
        epoch = site.entry(owner).election.epoch
        await site.kill(owner)
        await assert_job_starts(site, others[0])
        assert site.entry(others[0]).election.epoch == epoch + 1


async def test_all_entries_restarted_at_once_have_an_owner_soon_after_one_has_read_the_jobs():
    async with run_site() as site:
        site.store.late_pages.add("jobs")
        await restart_processes(site, site.entry_names, down_s=0.5)
        await asyncio.sleep(4.0)
        site.store.late_pages.clear()
        began_s = loop_time()
        await site.wait_for_owner()
        assert loop_time() - began_s < 1.5


async def test_owner_that_reads_the_jobs_through_another_entry_is_not_replaced():
    async with run_site() as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(3.0)
        epoch = site.entry(owner).election.epoch
        site.store.faults[owner] = StoreFault.SILENT
        await asyncio.sleep(20.0)
        assert site.entry(owner).election.epoch == epoch


@pytest.mark.parametrize("outage_s", [2.0, 5.0, 9.0])
async def test_outage_of_the_whole_store_causes_at_most_one_claim(outage_s):
    async with run_site() as site:
        await asyncio.sleep(3.0)
        claims = count_claims(site)
        site.store.faults[""] = StoreFault.SILENT
        await asyncio.sleep(outage_s)
        site.store.faults.clear()
        await asyncio.sleep(8.0)
        assert count_claims(site) - claims <= 1
        await assert_job_starts(site, site.entry_names[0])


async def assert_job_starts(site, entry, tasks=1, started=1):
    """Check that as many tasks as given start soon after an entry has accepted a job."""
    job = make_job(whole_vm_step(tasks))
    assert await site.submit(job, TaskBehavior(1.0), entry)
    count = site.checker.start_count
    async with asyncio.timeout(START_LIMIT_S):
        while site.checker.start_count < count + started:
            await asyncio.sleep(0.02)


def let_wait_for_jobs(entry):
    """Let an entry that has not read the jobs make claims, as an append may take effect late."""
    entry.job_follower.store = LateStore()
    entry.election.can_plan = lambda: True


class LateStore:
    """Store that has deleted what a follower would read next, and answers too late after that."""

    async def read(self, *_, **__):
        return Trimmed()

    async def list_newest(self, *_):
        await asyncio.sleep(0.6)
        return OutOfReach("the page comes too late")


def hold_back_claims(election):
    """Let an entry make no claim, although it watches the owner, until the method is restored."""
    election._claim_cause = str


def stall(site, entry, agent):
    """Let an agent read nothing more from its connection to an entry, at the entry's end of it."""
    for connection in site.network.connections[1::2]:
        ends = (connection.client, connection.address)
        if ends == (agent, site.address_of(entry)) and not connection.closed:
            connection.stalled = True


def count_claims(site):
    return sum('"owner_claims"' in line for line in site.logs.lines)


async def wait_for_ever(*_):
    await asyncio.Event().wait()

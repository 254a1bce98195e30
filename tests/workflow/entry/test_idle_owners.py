"""An entry that owns the jobs without planning them is replaced by one that can plan."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import TaskBehavior
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


async def test_all_entries_restarted_at_once_have_an_owner_soon_after_one_has_read_the_jobs():
    async with run_site() as site:
        site.store.late_pages.add("jobs")
        await restart_processes(site, site.entry_names, down_s=0.5)
        await asyncio.sleep(4.0)
        site.store.late_pages.clear()
        began_s = loop_time()
        await site.wait_for_owner()
        assert loop_time() - began_s < 1.5


async def assert_job_starts(site, entry, tasks=1, started=1):
    """Check that as many tasks as given start soon after an entry has accepted a job."""
    job = make_job(whole_vm_step(tasks))
    assert await site.submit(job, TaskBehavior(1.0), entry)
    count = site.checker.start_count
    async with asyncio.timeout(START_LIMIT_S):
        while site.checker.start_count < count + started:
            await asyncio.sleep(0.02)


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

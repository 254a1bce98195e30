"""Times of day that differ between entries."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_standins.emulator import TaskBehavior
from tests.workflow.samples import make_job, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(("ahead_s", "differences"), [(-8.0, 0), (8.0, 1)])
async def test_time_of_acceptance_that_is_still_to_come_is_logged(ahead_s, differences):
    async with run_site() as site:
        job = make_job()
        await site.submit(job, TaskBehavior(1.0), await restart_with_other_clock(site, ahead_s))
        await asyncio.sleep(1.0)
        lines = [line for line in site.logs.lines if "clocks_differ" in line]
        assert len([line for line in lines if job.job_id in line]) == differences


@pytest.mark.parametrize("ahead_s", [-8.0, 8.0])
async def test_job_does_not_wait_until_the_owner_reaches_the_time_of_acceptance(ahead_s):
    async with run_site() as site:
        job = make_job()
        await site.submit(job, TaskBehavior(1.0), await restart_with_other_clock(site, ahead_s))
        await site.wait_for_state(job.job_id, "completed", 2.0)


async def test_jobs_known_at_a_takeover_do_not_wait_for_the_clock_of_the_new_owner():
    async with run_site() as site:
        owner = await site.wait_for_owner()
        for name in site.entry_names:
            if name != owner:
                await restart_with_other_clock(site, -8.0, name)
        fills = make_job(whole_vm_step(6))
        await site.submit(fills, TaskBehavior(3.0), owner)
        await asyncio.sleep(0.5)
        job = make_job()
        await site.submit(job, TaskBehavior(1.0), owner)
        await site.kill(owner)
        await site.wait_for_state(job.job_id, "completed", 6.0)


async def restart_with_other_clock(site, ahead_s, name=""):
    """Restart an entry, by default one that is not the owner, with another time of day."""
    owner = await site.wait_for_owner()
    name = name or next(each for each in site.entry_names if each != owner)
    await site.kill(name)
    site.shift_clock(name, ahead_s)
    site.start_process(name)
    await asyncio.sleep(2.0)
    return name

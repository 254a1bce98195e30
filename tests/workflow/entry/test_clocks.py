"""Times of day that differ between entries."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_standins.emulator import TaskBehavior
from tests.workflow.samples import make_job
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


async def restart_with_other_clock(site, ahead_s):
    """Restart an entry that is not the owner with another time of day, and return its name."""
    owner = await site.wait_for_owner()
    name = next(each for each in site.entry_names if each != owner)
    await site.kill(name)
    site.shift_clock(name, ahead_s)
    site.start_process(name)
    await asyncio.sleep(2.0)
    return name

"""Jobs go the whole way through entries, agents and workers."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import Plan
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime


async def test_a_job_is_kept_started_and_shown_as_completed():
    async with run_site() as site:
        job = make_job(small_step(3))
        assert await site.submit(job, Plan(2.0))
        assert await site.wait_for_state(job.job_id, "completed", 10.0) < 4.0
        assert site.checker.starts == 3


@pytest.mark.parametrize("entry", ["entry-0", "entry-1", "entry-2"])
async def test_the_owner_learns_of_jobs_that_any_entry_has_accepted(entry):
    async with run_site() as site:
        job = make_job()
        assert await site.submit(job, Plan(1.0), entry)
        await site.wait_for_state(job.job_id, "completed", 5.0)


async def test_the_same_job_again_is_one_job():
    async with run_site() as site:
        job = make_job()
        for entry in site.entry_names:
            assert await site.submit(job, Plan(1.0), entry)
        await site.wait_for_state(job.job_id, "completed", 5.0)
        assert site.checker.starts == 1


async def test_steps_wait_for_those_before():
    async with run_site() as site:
        job = make_job(small_step(2), small_step(2, after=(0,)), small_step(1, after=(0, 1)))
        await site.submit(job, Plan(1.0))
        assert await site.wait_for_state(job.job_id, "completed", 10.0) > 3.0


async def test_a_gang_starts_whole():
    async with run_site() as site:
        job = make_job(whole_vm_step(4, gang=True))
        await site.submit(job, Plan(2.0))
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.ends == {"done": 4}


async def test_a_task_that_fails_is_started_again():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, Plan(1.0, failures=1))
        await site.wait_for_state(job.job_id, "completed", 10.0)


async def test_a_job_fails_once_a_task_has_failed_as_often_as_it_may():
    async with run_site() as site:
        site.checker.failure_limit = 3
        job = make_job(small_step(1), queue="bulk")
        await site.submit(job, Plan(1.0, failures=9))
        await site.wait_for_state(job.job_id, "failed", 10.0)
        assert site.checker.starts == 3


async def test_a_cancelled_job_is_stopped():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, Plan(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        assert await site.cancel(job.job_id, "entry-1")
        await site.wait_for_state(job.job_id, "cancelled", 2.0)
        await asyncio.sleep(1.0)
        assert not any(vm.runs for vm in site.vms.values())


async def test_an_urgent_job_within_its_guarantee_starts_though_all_vms_are_taken():
    async with run_site() as site:
        bulk = make_job(whole_vm_step(6), customer="south")
        await site.submit(bulk, Plan(60.0))
        await site.wait_for_state(bulk.job_id, "running", 5.0)
        urgent = make_job(whole_vm_step(3), queue="urgent", customer="north")
        began_s = loop_time()
        await site.submit(urgent, Plan(1.0))
        await site.wait_for_state(urgent.job_id, "running", 3.0)
        assert loop_time() - began_s < 1.1
        await site.wait_for_state(urgent.job_id, "completed", 5.0)


async def test_the_time_until_the_end_of_a_job_is_shown_is_measured():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, Plan(1.0))
        await site.wait_for_state(job.job_id, "completed", 5.0)
        page = site.entry(site.owner_name()).metrics.render().decode()
    assert 'briardeal_end_shown_seconds_count{state="completed"} 1' in page

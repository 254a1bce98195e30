"""Jobs from submission to completion, through entries, agents and workers."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import TaskBehavior
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime


async def test_submitted_job_runs_and_completes():
    async with run_site() as site:
        job = make_job(small_step(3))
        assert await site.submit(job, TaskBehavior(2.0))
        assert await site.wait_for_state(job.job_id, "completed", 10.0) < 4.0
        assert site.checker.start_count == 3


@pytest.mark.parametrize("entry", ["entry-0", "entry-1", "entry-2"])
async def test_job_accepted_by_any_entry_runs(entry):
    async with run_site() as site:
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0), entry)
        await site.wait_for_state(job.job_id, "completed", 5.0)


async def test_job_submitted_through_every_entry_runs_once():
    async with run_site() as site:
        job = make_job()
        for entry in site.entry_names:
            assert await site.submit(job, TaskBehavior(1.0), entry)
        await site.wait_for_state(job.job_id, "completed", 5.0)
        assert site.checker.start_count == 1


async def test_step_starts_after_the_steps_it_depends_on():
    async with run_site() as site:
        job = make_job(small_step(2), small_step(2, after=(0,)), small_step(1, after=(0, 1)))
        await site.submit(job, TaskBehavior(1.0))
        assert await site.wait_for_state(job.job_id, "completed", 10.0) > 3.0


async def test_all_tasks_of_a_gang_run_and_complete():
    async with run_site() as site:
        job = make_job(whole_vm_step(4, gang=True))
        await site.submit(job, TaskBehavior(2.0))
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.end_counts == {"done": 4}


async def test_failed_task_is_retried():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, TaskBehavior(1.0, failures=1))
        await site.wait_for_state(job.job_id, "completed", 10.0)


async def test_job_fails_when_a_task_reaches_its_failure_limit():
    async with run_site() as site:
        site.checker.failure_limit = 3
        job = make_job(small_step(1), queue="bulk")
        await site.submit(job, TaskBehavior(1.0, failures=9))
        await site.wait_for_state(job.job_id, "failed", 10.0)
        assert site.checker.start_count == 3


async def test_tasks_of_cancelled_job_are_stopped():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        assert await site.cancel(job.job_id, "entry-1")
        await site.wait_for_state(job.job_id, "cancelled", 2.0)
        await asyncio.sleep(1.0)
        assert not any(vm.attempts for vm in site.vms.values())


async def test_urgent_job_within_guarantee_starts_while_all_vms_are_in_use():
    async with run_site() as site:
        bulk = make_job(whole_vm_step(6), customer="south")
        await site.submit(bulk, TaskBehavior(60.0))
        await site.wait_for_state(bulk.job_id, "running", 5.0)
        urgent = make_job(whole_vm_step(3), queue="urgent", customer="north")
        submitted_s = loop_time()
        await site.submit(urgent, TaskBehavior(1.0))
        await site.wait_for_state(urgent.job_id, "running", 3.0)
        assert loop_time() - submitted_s < 1.1
        await site.wait_for_state(urgent.job_id, "completed", 5.0)


async def test_time_until_completion_is_shown_is_measured():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 5.0)
        page = site.entry(site.owner_name()).metrics.render().decode()
    assert 'briardeal_end_shown_seconds_count{state="completed"} 1' in page


async def test_owner_forgets_the_orders_of_ended_attempts():
    async with run_site(vms=1) as site:
        for _ in range(3):
            job = make_job(small_step(4))
            await site.submit(job, TaskBehavior(0.5))
            await site.wait_for_state(job.job_id, "completed", 5.0)
        await asyncio.sleep(1.5)
        owner = site.entry(await site.wait_for_owner()).owner
        assert not owner.agent_states["vm-0"].order_sent_s

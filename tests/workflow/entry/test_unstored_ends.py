"""An end that an owner knows and has not stored yet is known to the next owner."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal_standins.emulator import CONFIGURATION, TaskBehavior
from briardeal_workflow.owner import JOBS_TOPIC, STARTS_TOPIC
from tests.workflow.samples import make_job, small_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime

RUN_S = 4.0
OUTAGE_S = 4.0
RESTART_S = 1.5
FIRST_STEP = small_step(estimate_s=RUN_S)
ON_BOTH_VMS = small_step(2, accelerators=5, estimate_s=RUN_S, after=(0,))
"""Step that starts a task on each of two VMs, so that the records of both are replaced."""

ONE_FAILURE = attrs.evolve(
    CONFIGURATION,
    queues=tuple(attrs.evolve(queue, failure_limit=1) for queue in CONFIGURATION.queues),
)


async def lose_owner_after_outage(site, vms):
    """Let the partition of jobs fail for some seconds, then kill the owner and agents of VMs."""
    site.store.refusing_topics.add(JOBS_TOPIC)
    await asyncio.sleep(OUTAGE_S)
    names = [await site.wait_for_owner(), *vms]
    restart = asyncio.create_task(restart_processes(site, names, RESTART_S))
    await asyncio.sleep(0.1)
    site.store.refusing_topics.clear()
    await restart
    await site.wait_for_owner()


async def run_job(site, job, behavior):
    """Submit a job, wait until it runs, and return the VMs that run it."""
    assert await site.submit(job, behavior)
    await site.wait_for_state(job.job_id, "running", 2.0)
    return [
        name
        for name, vm in site.vms.items()
        if any(task.job_id == job.job_id for task, _ in vm.attempts)
    ]


async def test_done_task_is_not_started_again_by_the_next_owner():
    # Guards against a second run of a task whose end the store could not take before a takeover.
    async with run_site(vms=2) as site:
        job = make_job(FIRST_STEP, ON_BOTH_VMS)
        vms = await run_job(site, job, TaskBehavior(RUN_S))
        await asyncio.sleep(RUN_S - 0.8)
        await lose_owner_after_outage(site, vms)
        await site.wait_for_state(job.job_id, "completed", 20.0)
        assert site.checker.start_count == 3


async def test_task_that_failed_too_often_is_not_started_again_by_the_next_owner():
    # Guards against a start beyond the failure limit after a failure that could not be stored.
    async with run_site(vms=2, configuration=ONE_FAILURE) as site:
        failing = make_job(small_step(estimate_s=RUN_S), customer="south")
        vms = await run_job(site, failing, TaskBehavior(2 * RUN_S, failures=1))
        other = make_job(FIRST_STEP, ON_BOTH_VMS)
        await run_job(site, other, TaskBehavior(RUN_S))
        await asyncio.sleep(RUN_S - 0.9)
        await lose_owner_after_outage(site, vms)
        await site.wait_for_state(failing.job_id, "failed", 20.0)
        await site.wait_for_state(other.job_id, "completed", 20.0)


async def test_next_attempt_waits_until_the_failure_before_it_is_stored():
    # Guards against a failure that only the agent knows once a newer attempt is recorded.
    async with run_site(vms=2) as site:
        job = make_job(small_step(estimate_s=RUN_S))
        await run_job(site, job, TaskBehavior(RUN_S, failures=1))
        site.store.refusing_topics.add(JOBS_TOPIC)
        await asyncio.sleep(OUTAGE_S)
        assert site.checker.failures
        assert site.checker.start_count == 1
        waits = [line for line in site.logs.lines if job.job_id in line and "job_waits" in line]
        assert len(waits) == 1
        assert "the store had not confirmed the record of the start" in waits[0]
        site.store.refusing_topics.clear()
        await asyncio.sleep(0.5)
        assert site.checker.start_count == 2
        await site.wait_for_state(job.job_id, "completed", 10.0)


async def test_done_gang_is_not_started_again_by_the_next_owner():
    # Guards against a second run of a gang whose end the store could not take before a takeover.
    async with run_site(vms=3) as site:
        gang = small_step(2, accelerators=3, gang=True, estimate_s=RUN_S)
        job = make_job(gang, small_step(3, accelerators=5, estimate_s=RUN_S, after=(0,)))
        vms = await run_job(site, job, TaskBehavior(RUN_S))
        await asyncio.sleep(RUN_S - 0.8)
        await lose_owner_after_outage(site, vms)
        await site.wait_for_state(job.job_id, "completed", 20.0)
        assert site.checker.start_count == 5


async def test_end_that_a_new_owner_could_not_store_is_known_to_its_successor():
    # Guards against a second run if the end is reported to an owner that has just taken over.
    async with run_site(vms=2) as site, asyncio.timeout(60.0):
        first = make_job(FIRST_STEP, ON_BOTH_VMS)
        vms = await run_job(site, first, TaskBehavior(RUN_S))
        await asyncio.sleep(RUN_S - 1.5)
        agents = asyncio.create_task(restart_processes(site, vms, 2.5))
        await restart_processes(site, [await site.wait_for_owner()], RESTART_S)
        await site.wait_for_owner()
        site.store.refusing_topics.add(JOBS_TOPIC)
        await agents
        while site.checker.start_count < 3:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        await lose_owner_after_outage(site, vms)
        await site.wait_for_state(first.job_id, "completed", 20.0)
        assert site.checker.start_count == 3


async def test_record_of_a_removed_vm_stays_until_its_ends_are_stored():
    # Guards against a task that is not held back as its VM left the planner during an outage.
    async with run_site(vms=2) as site, asyncio.timeout(60.0):
        job = make_job(small_step(), *(small_step(after=(step,)) for step in range(4)))
        (name,) = await run_job(site, job, TaskBehavior(1.5))
        site.store.refusing_topics.add(JOBS_TOPIC)
        while not site.checker.ended_done:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        site.vms[name].kill()
        owner = site.entry(await site.wait_for_owner()).owner
        while name in owner.planner.state.vms:
            await asyncio.sleep(0.02)
        await asyncio.sleep(2.0)
        assert name in site.store.get_topic(STARTS_TOPIC).newest
        site.store.refusing_topics.clear()
        await site.wait_for_state(job.job_id, "completed", 20.0)
        assert name not in site.store.get_topic(STARTS_TOPIC).newest
        site.vms[name].restart()

"""After a takeover only tasks wait that may run on a VM that has not reported."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import TaskBehavior
from briardeal_workflow.job_table import job_key
from briardeal_workflow.leadership import CONTROL_TOPIC
from briardeal_workflow.owner import STARTS_TOPIC
from briardeal_workflow.store import Record
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize(("kills", "limit_s"), [(1, 3.0), (3, 6.0)])
async def test_other_tasks_start_soon_after_a_vm_and_owners_are_lost(kills, limit_s):
    # Guards against a standstill of all jobs until the lease of one lost VM has expired.
    async with run_site() as site:
        for _ in range(6):
            job = make_job(small_step(40, accelerators=4, estimate_s=2.5))
            assert await site.submit(job, TaskBehavior(2.5))
        await asyncio.sleep(4.0)
        watch = asyncio.create_task(find_longest_standstill(site, 40.0))
        await remove(site, "vm-3")
        for number in range(kills):
            if number:
                await asyncio.sleep(4.0)
            await restart_processes(site, [await site.wait_for_owner()], down_s=2.0)
        assert await watch <= limit_s


async def test_task_that_may_run_on_a_lost_vm_waits_for_its_lease():
    # Guards against a second run on a VM that is cut off together with the owner.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(3, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        await isolate_owner_and_a_busy_vm(site)
        await asyncio.sleep(25.0)
        assert site.checker.start_count == 4
        assert site.checker.end_counts == {"lapsed": 1}


async def test_wait_for_a_lost_vm_does_not_begin_again_with_each_owner():
    # Guards against a wait that further owners prolong though none of them reached the VM.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(3, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        lost_s = loop_time()
        await remove(site, next(vm.vm_id for vm in site.vms.values() if vm.attempts))
        for _ in range(3):
            await restart_processes(site, [await site.wait_for_owner()], down_s=2.0)
            await asyncio.sleep(2.0)
        while site.checker.start_count < 4:
            await asyncio.sleep(0.02)
        # The first takeover, the leases, and what a restarted entry may not know of the wait.
        assert 11.6 < loop_time() - lost_s < 2.5 + 11.6 + 2.0


async def test_vm_that_was_waited_for_is_not_waited_for_by_the_next_owner():
    # Guards against a wait for a VM that left the stored list too late.
    async with run_site(vms=4) as site:
        await asyncio.sleep(1.0)
        await remove(site, "vm-3")
        await restart_processes(site, [await site.wait_for_owner()], down_s=2.0)
        await asyncio.sleep(11.0)
        await restart_processes(site, [await site.wait_for_owner()], down_s=2.0)
        await asyncio.sleep(1.0)
        owner = site.entry(await site.wait_for_owner()).owner
        assert owner.planner.takeover_complete


async def test_lease_of_an_agent_is_not_extended_before_the_stored_list_names_the_owner():
    # Guards against a later owner that counts the lease of a VM from an earlier takeover.
    async with run_site(vms=2) as site:
        job = make_job(whole_vm_step(1, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        (vm,) = (vm for vm in site.vms.values() if vm.attempts)

        async def fail(agents, *, settled):
            return False

        for name in site.entry_names:
            site.entry(name).election.store_agents = fail
        await site.kill(await site.wait_for_owner())
        await asyncio.sleep(7.0)
        assert not vm.attempts
        assert site.checker.end_counts == {"lapsed": 1}


async def test_gang_waits_if_any_member_may_run_on_a_lost_vm():
    # Guards against a second run of a gang of which one VM is cut off together with the owner.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(2, gang=True, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        owner = await site.wait_for_owner()
        gone, other = (vm for vm in site.vms.values() if vm.attempts)
        site.isolate([owner, gone.vm_id])
        await asyncio.sleep(1.0)
        other.kill()
        other.restart()
        await asyncio.sleep(25.0)
        assert site.checker.start_count == 4


async def test_start_whose_record_is_not_confirmed_is_not_ordered():
    # Guards against a start that the next owner does not know of.
    async with run_site(vms=2) as site:
        await asyncio.sleep(1.0)
        site.store.lost_answers[STARTS_TOPIC] = 10**6
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(1.0))
        await asyncio.sleep(2.0)
        assert site.checker.start_count == 0
        waits = [line for line in site.logs.lines if job.job_id in line and "job_waits" in line]
        assert len(waits) == 1
        assert "the store had not confirmed the record of the start" in waits[0]
        site.store.lost_answers.clear()
        await site.wait_for_state(job.job_id, "completed", 3.0)
        assert site.checker.start_count == 1


async def test_lost_answer_to_a_start_record_delays_the_start_by_a_quarter_of_a_second():
    # Guards against a start that waits for the timeout of a call whose answer is lost.
    async with run_site(vms=2) as site:
        await asyncio.sleep(1.0)
        site.store.lost_answers[STARTS_TOPIC] = 1
        job = make_job(small_step())
        submitted_s = loop_time()
        assert await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "running", 2.0)
        assert site.checker.first_start_s[job.job_id] - submitted_s < 0.4


async def test_start_that_is_cancelled_before_its_record_is_stored_is_not_ordered():
    # Guards against a stop that arrives before the start that it belongs to.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        site.store.lost_answers[STARTS_TOPIC] = 2
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(5.0), owner)
        assert await site.cancel(job.job_id, owner)
        await asyncio.sleep(3.0)
        assert site.checker.start_count == 0
        later = make_job(whole_vm_step(2))
        assert await site.submit(later, TaskBehavior(1.0))
        await site.wait_for_state(later.job_id, "completed", 4.0)


async def test_earlier_owner_that_is_isolated_from_other_topics_starts_no_new_job():
    # Guards against a start of a new job by an owner whose start records are fenced off.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        other, spare = site.vms.values()
        site.isolate([owner, spare.vm_id])
        second = await wait_for_next_owner(site, owner)
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(6.0), second)
        while not other.attempts:
            await asyncio.sleep(0.02)
        site.store.faults.clear()
        site.entry(owner).job_follower.apply(
            site.store.get_topic("jobs").newest[job_key(job.job_id)]
        )
        await asyncio.sleep(3.0)
        assert site.checker.start_count == 1


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"{}", b"\x93\x01\x02\x03"])
async def test_all_known_tasks_wait_if_the_record_of_a_lost_vm_is_malformed(value):
    # Guards against a second run on a VM whose record can't be read.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(1, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        vm_id = await isolate_owner_and_a_busy_vm(site)
        site.store.write(STARTS_TOPIC, [Record(vm_id, value)], None, None)
        await asyncio.sleep(25.0)
        assert site.checker.start_count == 2
        (line,) = (line for line in site.logs.lines if "record_broken" in line)
        assert f'"key":"{vm_id}"' in line
        assert '"offset"' in line


async def test_start_records_that_a_takeover_could_not_read_are_read_later():
    # Guards against a standstill of all jobs after reads that fail for a moment of the takeover.
    async with run_site() as site:
        for _ in range(6):
            job = make_job(small_step(40, accelerators=4, estimate_s=2.5))
            assert await site.submit(job, TaskBehavior(2.5))
        await asyncio.sleep(4.0)
        watch = asyncio.create_task(find_longest_standstill(site, 25.0))
        site.store.late_pages.add(STARTS_TOPIC)
        owner = await site.wait_for_owner()
        await remove(site, "vm-3")
        await site.kill(owner)
        await wait_for_next_owner(site, owner)
        await asyncio.sleep(0.5)
        site.store.late_pages.clear()
        assert await watch <= 4.0


async def test_task_on_a_lost_vm_waits_for_its_lease_if_start_records_are_read_late():
    # Guards against a second run of a task whose record was not read at the takeover.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(3, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        site.store.late_pages.add(STARTS_TOPIC)
        await isolate_owner_and_a_busy_vm(site)
        await asyncio.sleep(5.0)
        site.store.late_pages.clear()
        await asyncio.sleep(20.0)
        assert site.checker.start_count == 4
        assert site.checker.end_counts == {"lapsed": 1}


async def test_task_of_an_owner_of_an_earlier_version_waits_at_the_second_takeover_too():
    # Guards against a second run of a task that an owner without start records has started.
    async with run_site(vms=4) as site:
        job = make_job(whole_vm_step(1, estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(2.0)
        vm_id = next(vm.vm_id for vm in site.vms.values() if vm.attempts)
        site.store.write(STARTS_TOPIC, [Record(vm_id, None)], None, None)
        owner_record = msgspec.msgpack.decode(
            site.store.get_topic(CONTROL_TOPIC).newest["owner"].value
        )
        for field in ("starts_recorded", "listed_agents"):
            del owner_record[field]
        value = msgspec.msgpack.encode(owner_record)
        site.store.write(CONTROL_TOPIC, [Record("owner", value)], None, None)
        await restart_processes(site, [await site.wait_for_owner()], down_s=3.0)
        await asyncio.sleep(3.0)
        await isolate_owner_and_a_busy_vm(site)
        await asyncio.sleep(25.0)
        assert site.checker.start_count == 2
        assert site.checker.end_counts == {"lapsed": 1}


async def isolate_owner_and_a_busy_vm(site):
    """Cut the owner and a VM that runs tasks off from all others; return the name of the VM."""
    vm_id = next(vm.vm_id for vm in site.vms.values() if vm.attempts)
    site.isolate([await site.wait_for_owner(), vm_id])
    return vm_id


async def find_longest_standstill(site, duration_s):
    """Return the longest time within the duration for which nothing ran, in seconds."""
    end_s = loop_time() + duration_s
    last_s, longest_s = loop_time(), 0.0
    while loop_time() < end_s:
        await asyncio.sleep(0.02)
        if site.vm_by_attempt:
            last_s = loop_time()
        longest_s = max(longest_s, loop_time() - last_s)
    return longest_s


async def remove(site, name):
    """Remove a VM without notice."""
    site.vms[name].kill()
    await site.kill(name)


async def wait_for_next_owner(site, earlier):
    """Wait until an entry other than the earlier owner owns the jobs; return its name."""
    while True:
        for name in site.entry_names:
            if name != earlier and site.entry(name).control_server.owner is not None:
                return name
        await asyncio.sleep(0.02)

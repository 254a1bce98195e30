"""Jobs keep running when owners, entries, agents or all VMs are restarted."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import StoreFault, TaskBehavior, VmFault
from briardeal_workflow.job_table import Progress, encode_record, job_key, progress_key
from briardeal_workflow.store import Record
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime


async def test_another_entry_takes_ownership_soon_after_owner_is_killed():
    async with run_site() as site:
        job = make_job(small_step(4))
        await site.submit(job, TaskBehavior(6.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        killed_s = loop_time()
        await site.kill(await site.wait_for_owner())
        await site.wait_for_owner()
        assert loop_time() - killed_s < 1.5
        later = make_job()
        assert await site.submit(later, TaskBehavior(1.0))
        await site.wait_for_state(later.job_id, "completed", 4.0)
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.start_count == 5


async def test_new_owner_learns_for_how_long_tasks_have_run():
    async with run_site() as site:
        job = make_job(small_step(4, estimate_s=30.0))
        await site.submit(job, TaskBehavior(30.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(10.0)
        await site.kill(await site.wait_for_owner())
        owner = site.entry(await site.wait_for_owner()).control_server.owner
        await asyncio.sleep(1.0)
        attempts = [
            attempt for vm in owner.planner.state.vms.values() for attempt in vm.attempts.values()
        ]
        assert len(attempts) == 4
        ran_s = loop_time() - site.checker.first_start_s[job.job_id]
        for attempt in attempts:
            assert loop_time() - attempt.ordered_s == pytest.approx(ran_s, abs=0.2)


class ClosedGate(asyncio.Event):
    """Event that stays unset until the gate is opened."""

    def set(self):
        """Do nothing while the gate is closed."""

    def open(self):
        super().set()


async def test_entry_that_lost_its_claim_while_it_read_the_jobs_does_not_act_under_the_newer_one():
    async with run_site() as site:
        owner = await site.wait_for_owner()
        slow, other = (site.entry(name) for name in site.entry_names if name != owner)
        # A claim whose append was not answered may win after the entry has begun to read anew.
        slow.job_follower.caught_up = ClosedGate()
        slow.election.can_plan = lambda: True
        other.election.leaving = True
        await site.kill(owner)
        await wait_until(lambda: slow.election.is_owner)
        other.election.leaving = False
        site.isolate([slow.election.entry_id])
        await wait_until(lambda: other.owner is not None and other.owner.loaded)
        site.reconnect_all()
        await wait_until(lambda: slow.election.epoch == other.election.epoch)
        slow.job_follower.caught_up.open()
        await asyncio.sleep(1.0)
        assert slow.owner is None
        for name in site.vms:
            assert site.processes[name].program.owner.address == other.address


async def wait_until(condition):
    """Wait until a condition holds, for five seconds at most."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_leaving_owner_hands_over_immediately():
    async with run_site() as site:
        owner = await site.wait_for_owner()
        job = make_job(whole_vm_step(6))
        await site.submit(job, TaskBehavior(8.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        site.entry(owner).election.leaving = True
        began_s = loop_time()
        while site.owner_name() in (owner, None):
            await asyncio.sleep(0.02)
        assert loop_time() - began_s < 1.5
        await site.wait_for_state(job.job_id, "completed", 12.0)
        assert site.checker.start_count == 6


async def test_leaving_owner_continues_until_another_entry_can_take_over():
    async with run_site() as site:
        owner = await site.wait_for_owner()
        for name in site.entry_names:
            site.entry(name).election.leaving = True
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0), owner)
        await site.wait_for_state(job.job_id, "completed", 3.0)
        other = next(name for name in site.entry_names if name != owner)
        await site.kill(other)
        site.start_process(other)
        await asyncio.sleep(1.5)
        assert site.owner_name() == other


async def test_tasks_keep_running_when_all_processes_are_replaced():
    async with run_site() as site:
        job = make_job(small_step(4))
        await site.submit(job, TaskBehavior(8.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await restart_processes(site, list(site.processes), down_s=1.0)
        await site.wait_for_state(job.job_id, "completed", 15.0)
        assert site.checker.start_count == 4


async def test_unrecorded_completion_is_recorded_after_all_processes_are_replaced():
    async with run_site() as site:
        job = make_job(small_step(2))
        await site.submit(job, TaskBehavior(2.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await restart_processes(site, list(site.processes), down_s=2.5)
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.start_count == 2


async def test_tasks_keep_running_when_their_agent_is_restarted():
    async with run_site() as site:
        job = make_job(small_step(12))
        await site.submit(job, TaskBehavior(8.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await restart_processes(site, ["vm-0", "vm-1"], down_s=2.0)
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.start_count == 12


async def test_unreachable_workers_do_not_delay_takeover():
    async with run_site() as site:
        for name in ("vm-0", "vm-1"):
            site.vms[name].fault = VmFault.SILENT
        await asyncio.sleep(8.0)
        job = make_job(whole_vm_step(4), small_step(1, after=(0,)))
        await site.submit(job, TaskBehavior(3.0))
        await site.wait_for_state(job.job_id, "running", 2.0)
        await site.kill(await site.wait_for_owner())
        assert await site.wait_for_state(job.job_id, "completed", 20.0) < 8.0


async def test_restarted_owner_waits_for_lost_agents_at_most_one_lease():
    async with run_site() as site:
        job = make_job(whole_vm_step(6), whole_vm_step(1, after=(0,)))
        await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "running", 2.0)
        for name in ("vm-0", *site.entry_names):
            await site.kill(name)
        for name in site.entry_names:
            site.start_process(name)
        began_s = loop_time()
        await site.wait_for_state(job.job_id, "completed", 20.0)
        assert loop_time() - began_s < 10.0


async def test_records_read_during_takeover_do_not_resolve_attempts():
    async with run_site() as site:
        job = make_job(whole_vm_step(3))
        await site.submit(job, TaskBehavior(8.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        vm_name = next(name for name, vm in site.vms.items() if vm.attempts)
        site.store.faults[""] = StoreFault.LOSES_ANSWERS
        await site.kill(await site.wait_for_owner())
        await site.kill(vm_name)
        while not any(
            site.entry(name).owner for name in site.entry_names if name in site.processes
        ):
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        record = Record(progress_key(job.job_id), encode_record(Progress(started=True)))
        site.store.write("jobs", [record], None, None)
        await asyncio.sleep(0.1)
        site.store.faults.clear()
        await site.wait_for_owner()
        await asyncio.sleep(0.5)
        site.start_process(vm_name)
        await site.wait_for_state(job.job_id, "completed", 20.0)
        assert site.checker.start_count == 3


async def test_tasks_of_a_cancelled_job_occupy_their_vm_until_they_end_after_a_takeover():
    async with run_site(vms=1) as site:
        job = make_job(small_step(8, estimate_s=60.0))
        await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        owner = await site.wait_for_owner()
        other = next(name for name in site.entry_names if name != owner)
        await site.kill(owner)
        assert await site.cancel(job.job_id, other)
        later = make_job(small_step(8))
        assert await site.submit(later, TaskBehavior(1.0), other)
        assert await site.wait_for_state(later.job_id, "completed", 10.0) < 5.0


async def test_tasks_resume_from_checkpoints_after_all_vms_lose_power():
    async with run_site() as site:
        job = make_job(whole_vm_step(2, checkpointable=True))
        await site.submit(job, TaskBehavior(12.0))
        await asyncio.sleep(10.0)
        await site.cut_power()
        await asyncio.sleep(1.0)
        site.restore_power()
        assert await site.wait_for_state(job.job_id, "completed", 20.0) < 8.0


async def test_preempted_task_resumes_from_checkpoint_after_all_vms_lose_power():
    async with run_site() as site:
        job = make_job(whole_vm_step(6, checkpointable=True, estimate_s=12.0))
        await site.submit(job, TaskBehavior(12.0))
        await asyncio.sleep(8.0)
        urgent = make_job(whole_vm_step(6, estimate_s=300.0), queue="urgent")
        await site.submit(urgent, TaskBehavior(300.0))
        await site.wait_for_state(urgent.job_id, "running", 5.0)
        await asyncio.sleep(0.5)
        await site.cut_power()
        site.restore_power()
        await site.wait_for_owner()
        while not await site.cancel(urgent.job_id, site.entry_names[0]):
            await asyncio.sleep(0.1)
        assert await site.wait_for_state(job.job_id, "completed", 20.0) < 9.0


async def test_next_owner_waits_for_an_agent_whose_removal_from_the_stored_list_was_unconfirmed():
    # Guards against a second run of a task on a VM that the stored list of agents lacked.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        vm = site.vms["vm-0"]
        site.store.lost_answers["control"] = 1
        vm.kill()
        while site.store.lost_answers["control"]:
            await asyncio.sleep(0.05)
        vm.restart()
        await asyncio.sleep(4.0)
        await _run_on(site, vm, run_s=12.0)
        for name in (owner, vm.vm_id):
            await site.kill(name)
        await asyncio.sleep(1.0)
        for name in (owner, vm.vm_id):
            site.start_process(name)
        await asyncio.sleep(20.0)
        assert site.checker.end_counts["done"] == 1


async def test_unanswered_start_is_settled_after_the_owner_has_handed_over():
    # Guards against a stop that is repeated for ever under the token of an earlier owner.
    async with run_site(vms=1) as site:
        vm = site.vms["vm-0"]
        vm.fault = VmFault.DELAYS_ORDERS
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(1.0))
        await asyncio.sleep(0.3)
        owner = await site.wait_for_owner()
        site.entry(owner).election.leaving = True
        while site.owner_name() in (owner, None):
            await asyncio.sleep(0.02)
        vm.fault = VmFault.NONE
        assert await site.wait_for_state(job.job_id, "completed", 20.0) < 8.0


async def test_unanswered_stop_does_not_hold_up_the_stop_of_the_next_owner():
    # Guards against a stop of a new owner that is dropped while an older one is repeated.
    async with run_site(vms=1) as site:
        vm = site.vms["vm-0"]
        job = make_job(small_step(estimate_s=60.0))
        assert await site.submit(job, TaskBehavior(60.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        owner = await site.wait_for_owner()
        vm.fault = VmFault.DELAYS_ORDERS
        assert await site.cancel(job.job_id, owner)
        await asyncio.sleep(0.3)
        site.entry(owner).election.leaving = True
        while site.owner_name() in (owner, None):
            await asyncio.sleep(0.02)
        vm.fault = VmFault.NONE
        await asyncio.sleep(3.0)
        assert not vm.attempts


async def test_job_keeps_its_failure_limit_when_its_queue_is_away_at_a_takeover():
    # Guards against a job that fails after one failed attempt, as its queue is not configured.
    async with run_site() as site:
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(8.0, failures=1))
        await site.wait_for_state(job.job_id, "running", 5.0)
        configured = site.configuration
        others = tuple(queue for queue in configured.queues if queue.name != job.queue)
        site.configure(attrs.evolve(configured, version=2, queues=others))
        owner = await site.wait_for_owner()
        await restart_processes(site, [owner], down_s=1.0)
        await asyncio.sleep(5.0)
        site.configure(attrs.evolve(configured, version=3))
        await site.wait_for_state(job.job_id, "completed", 15.0)


async def test_isolated_owner_does_not_start_again_what_the_next_owner_lets_run():
    # Guards against a second run on a VM that is isolated together with the earlier owner.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        vm, spare = site.vms.values()
        await _run_on(site, vm, run_s=15.0)
        site.isolate([owner, spare.vm_id])
        await asyncio.sleep(7.0)
        site.reconnect_all()
        await asyncio.sleep(15.0)
        assert site.checker.end_counts["done"] == 1


async def test_owner_after_an_isolated_one_and_a_short_one_waits_for_the_leases_of_both():
    # Guards against a second run while the first owner extends the lease of an isolated VM.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        vm, _ = site.vms.values()
        await _run_on(site, vm, run_s=30.0)
        site.isolate([owner, vm.vm_id])
        second = await _wait_for_next_owner(site, {owner})
        await asyncio.sleep(1.0)
        site.entry(second).election.leaving = True
        await _wait_for_next_owner(site, {owner, second})
        await asyncio.sleep(12.0)
        assert site.checker.end_counts["lapsed"] == 1


async def test_earlier_owner_that_reads_the_store_again_starts_no_job_of_the_next_owner():
    # Guards against a second run when the records of jobs are read before the newer claim.
    async with run_site(vms=2) as site:
        owner = await site.wait_for_owner()
        await asyncio.sleep(1.0)
        other, spare = site.vms.values()
        site.isolate([owner, spare.vm_id])
        second = await _wait_for_next_owner(site, {owner})
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(6.0), second)
        while not other.attempts:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        record = site.store.get_topic("jobs").newest[job_key(job.job_id)]
        site.entry(owner).job_follower.apply(record)
        await asyncio.sleep(8.0)
        assert site.checker.start_count == 1


async def _wait_for_next_owner(site, earlier):
    """Wait until an entry that is not one of the earlier owners owns the jobs; return its name."""
    while True:
        for name in site.entry_names:
            if name not in earlier and site.entry(name).control_server.owner is not None:
                return name
        await asyncio.sleep(0.02)


async def _run_on(site, vm, run_s):
    """Run a job of one task on a VM, and nothing on the others."""
    jobs = [make_job(whole_vm_step(estimate_s=run_s)) for _ in site.vms]
    for job in jobs:
        assert await site.submit(job, TaskBehavior(run_s))
    for job in jobs:
        await site.wait_for_state(job.job_id, "running", 5.0)
    ((kept, _),) = vm.attempts
    for job in jobs:
        if job.job_id != kept.job_id:
            while not await site.cancel(job.job_id, site.entry_names[0]):
                await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)

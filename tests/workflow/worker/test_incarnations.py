"""An order has an effect only on the incarnation of the worker that it was decided for."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briardeal_standins.emulator import TaskBehavior, VmFault
from briardeal_workflow.control import StartOrder
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime


def delay_first_start(site, on_order):
    """Let a coroutine function run between the decision of the first start and its sending."""
    control_server = site.entry(site.owner_name()).control_server
    send = control_server.send
    delayed = []
    tasks = set()

    async def send_after(agent_id, message):
        await on_order(site.vms[agent_id])
        send(agent_id, message)

    def send_late(agent_id, message):
        if not isinstance(message, StartOrder) or delayed:
            return send(agent_id, message)
        delayed.append(message)
        tasks.add(asyncio.get_running_loop().create_task(send_after(agent_id, message)))
        return True

    control_server.send = send_late
    return delayed


def find_ordered_vms(site):
    """Return a list that receives the VM of each start order."""
    control_server = site.entry(site.owner_name()).control_server
    send = control_server.send
    vm_ids = []

    def send_recorded(agent_id, message):
        if isinstance(message, StartOrder):
            vm_ids.append(agent_id)
        return send(agent_id, message)

    control_server.send = send_recorded
    return vm_ids


@pytest.mark.parametrize("delay_s", [0.0005, 0.0015, 0.0025, 0.005, 0.02])
async def test_start_decided_for_a_crashed_worker_does_not_run_twice(delay_s):
    # Guards against an attempt that counts as lost and is then started by the new incarnation.
    async with run_site() as site:

        async def replace_worker(vm):
            vm.kill()
            vm.restart()
            await asyncio.sleep(delay_s)

        delayed = delay_first_start(site, replace_worker)
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(3.0))
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert len(delayed) == 1
        assert site.checker.start_count == 1


async def test_gang_starts_again_after_a_member_was_ordered_for_a_crashed_worker():
    async with run_site() as site:

        async def replace_worker(vm):
            vm.kill()
            vm.restart()
            await asyncio.sleep(0.02)

        delay_first_start(site, replace_worker)
        job = make_job(whole_vm_step(3, gang=True))
        await site.submit(job, TaskBehavior(2.0))
        assert await site.wait_for_state(job.job_id, "completed", 10.0) < 4.0


async def test_start_order_of_an_earlier_version_is_carried_out():
    async with run_site(vms=1) as site:
        control_server = site.entry(site.owner_name()).control_server
        send = control_server.send

        def send_without_incarnation(agent_id, message):
            if isinstance(message, StartOrder):
                fields = (message.epoch, message.task, message.number, message.command)
                message = StartOrder(*fields)
            return send(agent_id, message)

        control_server.send = send_without_incarnation
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 4.0)
        assert site.checker.start_count == 1


@pytest.mark.parametrize("restart_s", [0.3, 0.7, 1.2])
@pytest.mark.parametrize("delay_s", [2.6, 3.6, 4.6])
async def test_order_under_way_when_the_agent_restarts_does_not_run_twice(
    monkeypatch, restart_s, delay_s
):
    # Guards against an unresolved start that counts as lost and is then carried out late.
    monkeypatch.setattr("briardeal_standins.emulator._worker.ORDER_DELAY_S", delay_s)
    async with run_site() as site:
        for vm in site.vms.values():
            vm.fault = VmFault.DELAYS_ORDERS
        ordered = find_ordered_vms(site)
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(8.0))
        await asyncio.sleep(restart_s)
        await restart_processes(site, ordered[:1], 0.2)
        for name, vm in site.vms.items():
            vm.fault = VmFault.REJECTS_STARTS if name == ordered[0] else VmFault.NONE
        await site.wait_for_state(job.job_id, "completed", 20.0)


@pytest.mark.parametrize("late_s", [0.0, 0.003, 0.01, 0.1])
async def test_start_that_reaches_the_next_life_of_an_instance_does_not_run_twice(late_s):
    # A worker may restart under its instance ID, so that a call for its earlier life has an effect.
    async with run_site() as site:
        reached = []
        for vm in site.vms.values():

            def wrap(vm=vm, start=vm.start):
                async def start_in_next_life(_incarnation, *arguments, **fields):
                    if reached:
                        return await start(_incarnation, *arguments, **fields)
                    reached.append(vm)
                    vm.kill()
                    vm.restart()
                    call = asyncio.create_task(start_late(vm, start, arguments, fields))
                    return await asyncio.shield(call)

                vm.start = start_in_next_life

            wrap()

        async def start_late(vm, start, arguments, fields):
            await asyncio.sleep(late_s)
            return await start(vm.state.incarnation, *arguments, **fields)

        job = make_job(small_step())
        await site.submit(job, TaskBehavior(3.0))
        await site.wait_for_state(job.job_id, "completed", 12.0)


@pytest.mark.parametrize("agent_restarts", [False, True])
async def test_start_for_an_earlier_incarnation_with_the_same_instance_id_is_refused(
    agent_restarts,
):
    # Guards against a late start beside the newer attempt of its task on another VM.
    async with run_site() as site:
        await asyncio.sleep(1.0)
        for vm in site.vms.values():
            vm.fault = VmFault.DELAYS_ORDERS
        job = make_job(small_step(estimate_s=8.0))
        await site.submit(job, TaskBehavior(8.0))
        await asyncio.sleep(0.2)
        for vm in site.vms.values():
            vm.fault = VmFault.NONE
        while not (running := [vm for vm in site.vms.values() if vm.attempts]):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        (vm,) = running
        vm.kill()
        if agent_restarts:
            await restart_processes(site, [vm.vm_id], down_s=0.5)
        await asyncio.sleep(1.0)
        vm.restart(keep_instance=True)
        await site.wait_for_state(job.job_id, "completed", 25.0)
        assert site.checker.start_count == 2


async def test_vm_of_an_agent_that_knows_no_generations_is_used_after_its_worker_restarts():
    # Guards against agents of an earlier version that the owner ignores from then on.
    async with run_site(vms=1) as site, asyncio.timeout(30.0):
        agent = site.processes["vm-0"].program
        make_report, follow_owner = agent._make_report, agent._follow_owner
        agent._make_report = lambda: msgspec.structs.replace(make_report(), generation=-1)
        agent._follow_owner = lambda link, message: follow_owner(
            link, msgspec.structs.replace(message, generation=0)
        )
        await asyncio.sleep(1.0)
        site.vms["vm-0"].kill()
        await asyncio.sleep(1.0)
        site.vms["vm-0"].restart(keep_instance=True)
        job = make_job(small_step())
        assert await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 10.0)
        fenced = [line for line in site.logs.lines if "incarnation_fenced" in line]
        assert len(fenced) == 1

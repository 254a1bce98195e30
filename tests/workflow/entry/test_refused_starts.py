"""Starts that are refused are not repeated without a pause, and other VMs are tried."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import TaskBehavior, VmFault
from briardeal_workflow.control import StartOrder
from briardeal_workflow.worker import Refused
from tests.workflow.samples import make_job, small_step, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

LISTING_S = 1.2
"""Time at which the agents wait for the answer to a call that lists the tasks."""


def collect_start_orders(site):
    """Return a list that receives the VM and the time of each start order."""
    control_server = site.entry(site.owner_name()).control_server
    send = control_server.send
    orders = []

    def send_recorded(agent_id, message):
        if isinstance(message, StartOrder):
            orders.append((agent_id, loop_time()))
        return send(agent_id, message)

    control_server.send = send_recorded
    return orders


async def test_worker_that_refuses_connections_gets_one_start_until_it_has_been_heard():
    # Guards against eleven orders in 0.17 s to a worker that was down.
    async with run_site(vms=1) as site:
        await asyncio.sleep(LISTING_S)
        orders = collect_start_orders(site)
        vm = site.vms["vm-0"]
        vm.kill()
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(1.0))
        await asyncio.sleep(0.7)
        assert len(orders) <= 1
        vm.restart()
        restarted_s = loop_time()
        await site.wait_for_state(job.job_id, "completed", 5.0)
        assert len(orders) <= 2
        assert orders[-1][1] - restarted_s < 0.5


async def test_task_refused_by_a_worker_that_is_down_starts_elsewhere_at_once():
    async with run_site(vms=2) as site:
        await asyncio.sleep(LISTING_S)
        orders = collect_start_orders(site)
        for vm in site.vms.values():
            vm.announce()
        site.vms["vm-0"].kill()
        job = make_job(whole_vm_step())
        await site.submit(job, TaskBehavior(1.0))
        assert await site.wait_for_state(job.job_id, "completed", 5.0) < 1.5
        assert len(orders) <= 2


async def test_connection_refused_once_keeps_a_vm_out_for_a_moment_only():
    async with run_site(vms=1) as site:
        await asyncio.sleep(LISTING_S)
        vm = site.vms["vm-0"]
        vm.kill()
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(1.0))
        await asyncio.sleep(0.03)
        vm.fault = VmFault.NONE
        assert await site.wait_for_state(job.job_id, "completed", 5.0) < 2.0


@pytest.mark.parametrize("reason", ["room", "late", "unhealthy"])
async def test_repeated_refusals_back_off(reason):
    async with run_site(vms=1) as site:
        orders = collect_start_orders(site)
        vm = site.vms["vm-0"]
        start = vm.start

        async def refuse(*_arguments, **_fields):
            await asyncio.sleep(0.001)
            return Refused(reason)

        vm.start = refuse
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(1.0))
        await asyncio.sleep(5.0)
        assert 3 <= len(orders) <= 8
        vm.start = start
        assert await site.wait_for_state(job.job_id, "completed", 5.0) < 3.2
        assert site.checker.failures == {}


async def test_task_refused_for_room_goes_to_another_vm_while_others_use_the_first():
    async with run_site(vms=2) as site:
        await asyncio.sleep(0.5)
        orders = collect_start_orders(site)
        refusing = []
        refused_task = make_job(small_step())
        for vm in site.vms.values():

            def wrap(vm=vm, start=vm.start):
                async def start_or_refuse(incarnation, task, *arguments, **fields):
                    if task.job_id == refused_task.job_id and vm.vm_id in (refusing or [vm.vm_id]):
                        refusing[:] = [vm.vm_id]
                        return Refused("room")
                    return await start(incarnation, task, *arguments, **fields)

                vm.start = start_or_refuse

            wrap()
        await site.submit(refused_task, TaskBehavior(1.0))
        other = make_job(small_step())
        await site.submit(other, TaskBehavior(1.0))
        assert await site.wait_for_state(refused_task.job_id, "completed", 5.0) < 2.0
        await site.wait_for_state(other.job_id, "completed", 5.0)
        assert len(orders) == 3
        by_vm = [vm_id for vm_id, _ in orders]
        assert by_vm.count(refusing[0]) == 2

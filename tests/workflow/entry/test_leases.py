"""A new owner extends no lease under which tasks may run that it does not know."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_standins.emulator import TaskBehavior
from briardeal_workflow.worker import NoAnswer
from tests.workflow.samples import make_job, small_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime


def lose_answers_to_renewals(vm):
    """Let a worker renew its lease when it is asked to, and not answer."""
    renew_lease = vm.renew_lease

    async def renew_without_answer(incarnation, **fields):
        await renew_lease(incarnation, **{**fields, "wait_s": 0.0})
        await asyncio.sleep(0.5)
        return NoAnswer("no answer")

    vm.renew_lease = renew_without_answer


@pytest.mark.parametrize("cut_s", [6.5, 8.0, 9.0])
async def test_task_of_a_vm_that_reports_no_list_to_the_new_owner_does_not_run_twice(cut_s):
    # Guards against a lease that outlasts the wait of the new owner for the tasks of earlier ones.
    async with run_site() as site:
        job = make_job(small_step())
        await site.submit(job, TaskBehavior(40.0))
        await site.wait_for_state(job.job_id, "running", 5.0)
        await asyncio.sleep(1.0)
        vm = next(vm for vm in site.vms.values() if vm.attempts)
        site.isolate([site.owner_name(), vm.vm_id])
        await asyncio.sleep(cut_s)
        lose_answers_to_renewals(vm)
        site.reconnect_all()
        await asyncio.sleep(20.0 - cut_s)
        assert site.checker.start_count == 2

"""The check finds accepted jobs that stand still, and no job that must wait."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from briardeal_core.clock import loop_time
from briardeal_standins.emulator import Checker, ProgressCheck, StandinVm, TaskBehavior, VmFault
from briardeal_workflow.control import VmState
from briardeal_workflow.model import TaskId
from tests.workflow.samples import SERVICE, make_job, small_step, whole_vm_step

if TYPE_CHECKING:
    from briardeal_workflow.model import Job

pytestmark = pytest.mark.looptime

BEFORE_LIMIT_S = 6.5
"""Seconds from the last disturbance on in which no span counts yet."""

AFTER_LIMIT_S = 8.0
RUN_S = 60.0


class Deployment:
    """Workers that run tasks, and jobs that are never started unless a test does so."""

    def __init__(self, vms: int = 2) -> None:
        self.checker = Checker()
        self.check = ProgressCheck(self.checker)
        self.vm_by_attempt: dict[tuple[TaskId, int], StandinVm] = {}
        self.vms = [self._make_vm(f"vm-{number}") for number in range(vms)]

    def accept(self, job: Job) -> Job:
        self.checker.jobs[job.job_id] = job
        self.checker.accepted[job.job_id] = loop_time()
        return job

    async def start(
        self, vm: StandinVm, job: Job, step: int = 0, index: int = 0, epoch: int = 1
    ) -> None:
        task = TaskId(job.job_id, 0, step, index)
        await vm.start(
            vm.state.incarnation,
            task,
            1,
            "",
            "",
            "",
            fencing_token=epoch,
            lease_end_clock_s=10_000.0,
        )

    async def finish(self, vm: StandinVm, *, acknowledged: bool = True) -> None:
        """Let all attempts of a VM be done, and the owner store that."""
        for attempt in list(vm.attempts.values()):
            vm._finish(attempt, "done")
        if acknowledged:
            position = vm.ended[-1].position
            self.checker.record_stored_ends(vm.vm_id, vm.ended, position)
            vm.ended.clear()

    async def wait(self, seconds: float) -> list[str]:
        """Check for some time; return what has been found so far."""
        end_s = loop_time() + seconds
        while loop_time() < end_s:
            self.check.check(self.vms)
            await asyncio.sleep(0.1)
        return [each.invariant.name for each in self.checker.violations]

    def _make_vm(self, name: str) -> StandinVm:
        return StandinVm(
            name,
            VmState(f"{name}@1", SERVICE, "a", "rack", 32_000, 65_536, 8, (), leaving=False),
            lambda command: TaskBehavior(RUN_S),
            lambda task: 1,
            lambda task: False,
            self.vm_by_attempt,
            self.checker,
        )


async def test_job_that_nobody_starts_is_found():
    site = Deployment()
    site.accept(make_job())
    assert await site.wait(BEFORE_LIMIT_S) == []
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_second_job_that_stands_still_is_found_beside_one_that_runs():
    site = Deployment()
    await site.start(site.vms[0], site.accept(make_job()))
    site.accept(make_job())
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_job_is_found_on_a_fleet_that_is_mostly_in_use():
    # The limit on the capacity in use holds only for the end of the traffic.
    site = Deployment(vms=3)
    for vm in site.vms[:2]:
        await site.start(vm, site.accept(make_job(whole_vm_step())))
    site.accept(make_job())
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_next_step_that_nobody_starts_is_found():
    site = Deployment()
    job = site.accept(make_job(small_step(), small_step(after=(0,))))
    await site.start(site.vms[0], job)
    assert await site.wait(AFTER_LIMIT_S) == []
    await site.finish(site.vms[0])
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_task_whose_end_was_lost_with_its_worker_is_found():
    site = Deployment()
    job = site.accept(make_job())
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0], acknowledged=False)
    assert await site.wait(AFTER_LIMIT_S) == []
    with site.check.disturbed():
        site.vms[0].kill()
        site.vms[0].restart()
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_job_whose_end_was_stored_before_its_worker_was_lost_is_not_found():
    # The worker was lost before the acknowledgement; a caller is shown that the job is completed.
    site = Deployment()
    job = site.accept(make_job())
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0], acknowledged=False)
    assert await site.wait(1.0) == []
    assert site.check.list_doubtful() == []
    site.vms[0].kill()
    assert await site.wait(1.0) == []
    assert site.check.list_doubtful() == [job.job_id]
    site.check.completed.add(job.job_id)
    assert await site.wait(AFTER_LIMIT_S) == []
    assert site.check.list_doubtful() == []


async def test_span_counts_only_after_calm_time():
    site = Deployment()
    site.accept(make_job())
    for _ in range(3):
        with site.check.disturbed():
            assert await site.wait(5.0) == []
        assert await site.wait(BEFORE_LIMIT_S) == []
    assert site.check.counted_s == 0.0
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]
    assert site.check.counted_s == pytest.approx(BEFORE_LIMIT_S + AFTER_LIMIT_S - 7.0, abs=0.3)


async def test_overlapping_disturbances_count_until_the_last_has_ended():
    site = Deployment()
    site.accept(make_job())
    with site.check.disturbed():
        with site.check.disturbed():
            assert await site.wait(1.0) == []
        assert await site.wait(AFTER_LIMIT_S) == []
    assert await site.wait(BEFORE_LIMIT_S) == []


@pytest.mark.parametrize(
    "steps",
    [
        [whole_vm_step()],
        [small_step(2, accelerators=4, gang=True)],
        [small_step(accelerators=5)],
    ],
)
async def test_job_waits_where_the_free_capacity_holds_it_only_once(steps):
    site = Deployment()
    await site.start(site.vms[0], site.accept(make_job(whole_vm_step())))
    site.accept(make_job(*steps))
    assert await site.wait(AFTER_LIMIT_S) == []


async def test_gang_is_found_where_the_free_capacity_holds_it_twice():
    site = Deployment()
    site.accept(make_job(small_step(2, accelerators=4, gang=True)))
    assert await site.wait(AFTER_LIMIT_S) == ["JOBS_PROGRESS"]


async def test_vms_that_are_down_or_leave_are_no_capacity():
    site = Deployment()
    site.accept(make_job())
    site.vms[0].fault = VmFault.DOWN
    site.vms[1].leave()
    assert await site.wait(AFTER_LIMIT_S) == []


async def test_job_that_has_ended_or_whose_cancellation_was_requested_may_stand():
    site = Deployment()
    await site.start(site.vms[0], site.accept(make_job()))
    await site.finish(site.vms[0])
    site.check.withdrawn.add(site.accept(make_job()).job_id)
    assert await site.wait(AFTER_LIMIT_S) == []


async def test_cancelled_job_that_runs_on_is_found():
    site = Deployment()
    job = site.accept(make_job())
    await site.start(site.vms[0], job)
    site.check.withdrawn.add(job.job_id)
    site.checker.cancelled_s[job.job_id] = loop_time()
    assert await site.wait(3.0) == []
    assert await site.wait(AFTER_LIMIT_S) == ["STARTS_WANTED"]


async def test_cancelled_job_may_run_on_while_a_disturbance_lasts():
    site = Deployment()
    job = site.accept(make_job())
    await site.start(site.vms[0], job)
    site.check.withdrawn.add(job.job_id)
    site.checker.cancelled_s[job.job_id] = loop_time()
    with site.check.disturbed():
        assert await site.wait(AFTER_LIMIT_S) == []

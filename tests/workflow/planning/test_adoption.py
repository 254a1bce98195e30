"""Tasks that an earlier owner started occupy their capacity until they have ended."""

from __future__ import annotations

import itertools

import pytest

from briardeal_workflow.job_table import Progress
from briardeal_workflow.model import TaskId
from briardeal_workflow.planning import AttemptOutcome, RunningTask, StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import make_job, small_step, whole_vm_step


@pytest.fixture
def harness():
    return PlannerHarness(vms=1, epoch=2)


def test_tasks_of_a_deleted_job_occupy_their_vm_until_the_last_has_ended(harness):
    stops = adopt(harness, make_job(small_step(4)))
    harness.submit(small_step(8))
    for stop in stops[:-1]:
        harness.report_outcome(stop, AttemptOutcome.STOPPED)
        assert harness.start_orders() == []
    harness.report_outcome(stops[-1], AttemptOutcome.STOPPED)
    assert len(harness.start_orders()) == 8


def test_each_task_of_a_finished_job_occupies_its_own_capacity_until_its_end(harness):
    finished_job = make_job(small_step(6))
    harness.stored_jobs[finished_job.job_id] = finished_job
    stops = adopt(harness, finished_job)
    harness.submit(small_step(8))
    assert len(harness.start_orders()) == 2
    for stop in stops:
        harness.report_outcome(stop, AttemptOutcome.STOPPED)
        assert len(harness.start_orders()) == 1


def test_task_of_an_unknown_step_of_a_stored_job_occupies_its_vm(harness):
    finished_job = make_job(small_step(1))
    harness.stored_jobs[finished_job.job_id] = finished_job
    (stop,) = adopt(harness, finished_job, step=3)
    harness.submit(small_step(8))
    assert harness.start_orders() == []
    harness.report_outcome(stop, AttemptOutcome.STOPPED)
    assert len(harness.start_orders()) == 8


def test_urgent_job_starts_only_after_all_tasks_of_a_deleted_job_have_ended(harness):
    stops = adopt(harness, make_job(small_step(2)))
    harness.submit(whole_vm_step(), queue="urgent")
    assert harness.decide_after_preemption_delay() == []
    harness.report_outcome(stops[0], AttemptOutcome.STOPPED)
    assert harness.start_orders() == []
    harness.report_outcome(stops[1], AttemptOutcome.STOPPED)
    assert len(harness.start_orders()) == 1


def adopt(harness, job, step=0):
    """Let the VM list all tasks of a job that has finished, and return the orders to stop them."""
    tasks = [TaskId(job.job_id, 0, step, index) for index in range(job.steps[0].tasks)]
    rows = [RunningTask(task, 1) for task in tasks]
    harness.planner.record_task_list("vm-0", rows, harness.now_s)
    stops = harness.decide()
    assert [type(each) for each in stops] == [StopTask] * len(rows)
    return stops


@pytest.mark.parametrize("old", [{"ran_s": 25.0}, {"percent": 80}])
def test_new_owner_stops_younger_work_before_work_that_an_earlier_owner_started(old):
    harness = PlannerHarness(vms=2, epoch=2)
    earlier = harness.submit(whole_vm_step(estimate_s=30.0), customer="south")
    task = TaskId(earlier.job_id, 0, 0, 0)
    harness.planner.record_task_list("vm-0", [RunningTask(task, 1, **old)], harness.now_s)
    younger = harness.submit(whole_vm_step(estimate_s=30.0), customer="south")
    harness.report_running(harness.start_orders())
    harness.decide(after_s=3.0)
    harness.submit(whole_vm_step(), queue="urgent", customer="north")
    (stop,) = harness.decide_after_preemption_delay()
    assert stop.task.job_id == younger.job_id


@pytest.mark.parametrize("numbers", list(itertools.permutations((1, 2, 3))))
def test_failures_that_an_earlier_owner_did_not_store_count_in_any_order(numbers):
    harness = PlannerHarness(vms=3, epoch=2, takeover_complete=False)
    job = harness.submit(small_step(), takeover_pending=True)
    task = TaskId(job.job_id, 0, 0, 0)
    for vm, number in enumerate(numbers):
        harness.planner.record_outcome(
            f"vm-{vm}", task, number, AttemptOutcome.FAILED, "", harness.now_s
        )
    harness.planner.complete_takeover()
    assert harness.start_orders() == []


@pytest.mark.parametrize(("unresolved", "limit_s"), [(False, 3.0), (True, 6.0)])
def test_attempt_whose_start_may_come_late_counts_as_lost_only_after_its_lease(unresolved, limit_s):
    harness = PlannerHarness(vms=2, epoch=2)
    job = harness.submit(small_step(), takeover_pending=True)
    task = TaskId(job.job_id, 0, 0, 0)
    row = RunningTask(task, 1, unresolved=unresolved)
    harness.planner.record_task_list("vm-0", [row], harness.now_s)
    harness.planner.complete_takeover()
    lost_after_s = 0.0
    while not harness.start_orders():
        harness.now_s += 0.1
        lost_after_s += 0.1
        harness.planner.record_task_list("vm-0", [], harness.now_s)
    assert lost_after_s == pytest.approx(limit_s, abs=0.3)


def test_task_that_an_owner_has_ordered_over_a_thousand_times_is_held_for_its_newest_attempt():
    # Guards against a second run of a task whose newer attempt has the lower number.
    harness = PlannerHarness(vms=3, epoch=2, takeover_complete=False)
    job = harness.submit(small_step(), takeover_pending=True)
    task = TaskId(job.job_id, 0, 0, 0)
    starts = {"vm-2": [(task, 1500)]}
    harness.planner.takeover.hold_tasks(starts, ())
    harness.planner.complete_takeover()
    (start,) = harness.start_orders()
    later = PlannerHarness(vms=3, epoch=3, takeover_complete=False)
    later.planner.add_job(job, Progress(), later.now_s, takeover_pending=True)
    starts["vm-1"] = [(task, start.number)]
    assert later.planner.takeover.hold_tasks(starts, {"vm-1"}) == 1


def test_further_attempt_of_a_gang_is_stopped_when_an_earlier_one_is_done():
    # Guards against a gang that runs on after its job is shown as completed.
    harness = PlannerHarness(vms=2, epoch=2, takeover_complete=False)
    job = harness.submit(whole_vm_step(2, gang=True), takeover_pending=True)
    harness.planner.takeover.release_others()
    starts = harness.start_orders()
    assert len(starts) == 2
    task = TaskId(job.job_id, 0, 0, 1)
    harness.planner.record_outcome("vm-0", task, 1, AttemptOutcome.DONE, "", harness.now_s)
    stops = harness.decide()
    assert {(each.task, each.number) for each in stops} == {
        (each.task, each.number) for each in starts
    }
    assert all(isinstance(each, StopTask) for each in stops)


@pytest.mark.parametrize("listed_first", ["vm-0", "vm-1"])
@pytest.mark.parametrize("gang", [False, True])
def test_older_of_two_attempts_is_stopped_as_soon_as_both_are_known(listed_first, gang):
    # Guards against two runs of a task that go on beside each other until one is done.
    harness = PlannerHarness(vms=2, epoch=2, takeover_complete=False)
    job = harness.submit(small_step(2, gang=gang), takeover_pending=True)
    rows = {
        "vm-0": [RunningTask(TaskId(job.job_id, 0, 0, 0), 1)],
        "vm-1": [RunningTask(TaskId(job.job_id, 0, 0, 0), 2)],
    }
    for vm_id in sorted(rows, reverse=listed_first == "vm-1"):
        harness.planner.record_task_list(vm_id, rows[vm_id], harness.now_s)
    stops = [each for each in harness.decide() if isinstance(each, StopTask)]
    assert [(each.vm_id, each.number) for each in stops] == [("vm-0", 1)]

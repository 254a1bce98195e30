"""VMs on which tasks fail are quarantined."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import AttemptOutcome, StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step, whole_vm_step


def test_vm_with_several_failed_tasks_is_not_used_while_another_fits():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step(2))
    starts = harness.start_orders()
    harness.report_running(starts)
    for start in starts:
        harness.report_outcome(start, AttemptOutcome.FAILED)
    harness.submit(small_step(1))
    assert starts[0].vm_id not in {start.vm_id for start in harness.start_orders()}


def test_failure_right_after_the_start_quarantines_the_vm():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step())
    start = harness.start_orders()[0]
    harness.report_running([start])
    harness.report_outcome(start, AttemptOutcome.FAILED)
    harness.submit(whole_vm_step(2))
    first = harness.start_orders()
    assert {each.vm_id for each in first}.isdisjoint({start.vm_id})
    assert harness.start_orders(after_s=5.5) == []
    assert {each.vm_id for each in harness.start_orders(after_s=1.0)} == {start.vm_id}


def test_start_rejected_as_unhealthy_goes_to_another_vm_without_counting_as_failure():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step())
    start = harness.start_orders()[0]
    harness.planner.record_unhealthy(start.vm_id, harness.now_s)
    harness.report_outcome(start, AttemptOutcome.REFUSED)
    (again,) = harness.start_orders()
    assert again.vm_id != start.vm_id
    assert harness.planner.state.active_jobs[start.task.job_id].progress().failures == ()


def test_quarantine_doubles_with_each_repeated_failure():
    harness = PlannerHarness(vms=2)
    pauses_s = []
    harness.submit(whole_vm_step())
    harness.start_orders()
    for _ in range(3):
        harness.submit(whole_vm_step())
        start = harness.start_orders(after_s=0.1)[0]
        harness.report_running([start])
        harness.report_outcome(start, AttemptOutcome.FAILED)
        pauses_s.append(harness.planner.state.vms[start.vm_id].quarantined_until_s - harness.now_s)
        harness.decide(after_s=pauses_s[-1] + 0.1)
        harness.planner.cancel_job(start.task.job_id)
        for order in harness.decide():
            if isinstance(order, StopTask):
                harness.report_outcome(order, AttemptOutcome.STOPPED)
    assert pauses_s == pytest.approx([6.0, 12.0, 24.0])


def test_job_that_fails_on_every_vm_quarantines_only_one():
    harness = PlannerHarness(vms=3)
    harness.submit(whole_vm_step(3))
    for start in harness.start_orders():
        harness.report_running([start])
        harness.report_outcome(start, AttemptOutcome.FAILED)
    healthy = [vm.is_healthy(harness.now_s) for vm in harness.planner.state.vms.values()]
    assert healthy.count(False) == 1


def test_failure_is_attributed_to_the_vm_if_another_job_failed_there_too():
    harness = PlannerHarness(vms=3)
    for _ in range(2):
        harness.submit(small_step(1, accelerators=4))
    starts = harness.start_orders()
    assert len({start.vm_id for start in starts}) == 1
    for start in starts:
        harness.report_running([start])
        harness.report_outcome(start, AttemptOutcome.FAILED)
    again = harness.start_orders()[0]
    harness.report_running([again])
    harness.report_outcome(again, AttemptOutcome.FAILED)
    assert again.vm_id != starts[0].vm_id
    assert not harness.planner.state.vms[again.vm_id].is_healthy(harness.now_s)


def test_quarantined_vm_is_used_if_the_task_fits_on_no_other():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step())
    start = harness.start_orders()[0]
    harness.report_running([start])
    harness.report_outcome(start, AttemptOutcome.FAILED)
    assert len(harness.start_orders()) == 1


def test_completion_of_a_task_started_before_a_failure_does_not_end_the_quarantine():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step(2))
    starts = harness.start_orders()
    harness.report_running(starts)
    assert len({each.vm_id for each in starts}) == 1
    harness.decide(after_s=0.5)
    harness.report_outcome(starts[0], AttemptOutcome.FAILED)
    harness.report_outcome(starts[1], AttemptOutcome.DONE)
    assert not harness.planner.state.vms[starts[0].vm_id].is_healthy(harness.now_s)

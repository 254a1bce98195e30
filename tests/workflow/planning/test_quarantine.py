"""VMs that fail tasks get none for a while."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import AttemptOutcome, StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step, whole_vm_step


def test_a_vm_that_fails_several_tasks_is_the_last_choice_for_a_while():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step(2))
    starts = harness.start_orders()
    harness.report_running(starts)
    for start in starts:
        harness.report_outcome(start, AttemptOutcome.FAILED)
    harness.submit(small_step(1))
    assert starts[0].vm_id not in {start.vm_id for start in harness.start_orders()}


def test_a_vm_that_fails_a_task_right_after_its_start_gets_no_work_for_a_while():
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


def test_a_vm_that_turns_starts_down_as_unhealthy_gets_none_for_a_while():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step())
    start = harness.start_orders()[0]
    harness.planner.record_unhealthy(start.vm_id, harness.now_s)
    harness.report_outcome(start, AttemptOutcome.REFUSED)
    (again,) = harness.start_orders()
    assert again.vm_id != start.vm_id
    assert harness.planner.state.active_jobs[start.task.job_id].progress().failures == ()


def test_a_vm_that_fails_again_gets_no_work_for_longer():
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


def test_a_job_that_fails_everywhere_right_away_takes_no_vms_from_others():
    harness = PlannerHarness(vms=3)
    harness.submit(whole_vm_step(3))
    for start in harness.start_orders():
        harness.report_running([start])
        harness.report_outcome(start, AttemptOutcome.FAILED)
    trusted = [vm.is_healthy(harness.now_s) for vm in harness.planner.state.vms.values()]
    assert trusted.count(False) == 1


def test_a_job_that_fails_where_others_fail_too_is_not_to_blame():
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


def test_distrusted_vms_are_used_where_no_other_can_hold_a_task():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step())
    start = harness.start_orders()[0]
    harness.report_running([start])
    harness.report_outcome(start, AttemptOutcome.FAILED)
    assert len(harness.start_orders()) == 1


def test_a_task_that_began_before_a_failure_says_nothing_for_its_vm():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step(2))
    starts = harness.start_orders()
    harness.report_running(starts)
    assert len({each.vm_id for each in starts}) == 1
    harness.decide(after_s=0.5)
    harness.report_outcome(starts[0], AttemptOutcome.FAILED)
    harness.report_outcome(starts[1], AttemptOutcome.DONE)
    assert not harness.planner.state.vms[starts[0].vm_id].is_healthy(harness.now_s)

"""A task whose start a VM has refused is tried on other VMs, and there again after a pause."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import AttemptOutcome, RunningTask, StartTask, StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step, whole_vm_step


def refuse(harness, start):
    harness.report_outcome(start, AttemptOutcome.REFUSED)


def test_pause_on_the_only_vm_doubles_with_each_refusal():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step())
    (start,) = harness.start_orders()
    pauses_s = []
    for _ in range(6):
        refuse(harness, start)
        refused_s = harness.now_s
        while not (starts := harness.start_orders(after_s=0.02)):
            pass
        (start,) = starts
        pauses_s.append(harness.now_s - refused_s)
    assert pauses_s == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.6, 1.6], abs=0.03)


def test_refused_task_tries_another_vm_and_others_use_the_vm_that_refused_it():
    harness = PlannerHarness(vms=2)
    harness.submit(small_step())
    (first,) = harness.start_orders()
    refuse(harness, first)
    (second,) = harness.start_orders()
    assert second.vm_id != first.vm_id
    harness.submit(whole_vm_step())
    (other,) = harness.start_orders()
    assert other.vm_id == first.vm_id


def test_refusals_before_a_start_do_not_delay_a_later_attempt():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step())
    for _ in range(4):
        (start,) = harness.start_orders(after_s=2.0)
        refuse(harness, start)
    (start,) = harness.start_orders(after_s=2.0)
    harness.report_running([start])
    harness.report_outcome(start, AttemptOutcome.STOPPED)
    (start,) = harness.start_orders()
    refuse(harness, start)
    assert len(harness.start_orders(after_s=0.15)) == 1


def test_gang_of_which_a_vm_refuses_a_member_is_placed_without_that_vm():
    harness = PlannerHarness(vms=3)
    harness.submit(whole_vm_step(2, gang=True))
    starts = harness.start_orders()
    refuse(harness, starts[0])
    (stop,) = harness.decide()
    assert isinstance(stop, StopTask)
    harness.report_outcome(stop, AttemptOutcome.STOPPED)
    again = harness.start_orders()
    assert len(again) == 2
    assert starts[0].vm_id not in {each.vm_id for each in again}


def test_urgent_task_waits_for_the_pause_instead_of_stopping_other_work():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(estimate_s=100.0), customer="south")
    (running,) = harness.start_orders()
    harness.report_running([running])
    harness.submit(whole_vm_step(), queue="urgent", customer="north")
    (start,) = harness.start_orders(after_s=5.0)
    refuse(harness, start)
    assert harness.decide(after_s=0.01) == []
    (again,) = harness.decide(after_s=0.1)
    assert isinstance(again, StartTask)
    assert again.vm_id == start.vm_id


def test_start_that_was_to_be_ordered_again_is_not_sent_after_its_refusal():
    # Guards against a refused attempt that starts after all, beside the next one.
    harness = PlannerHarness(vms=2)
    harness.submit(small_step())
    (start,) = harness.start_orders()
    harness.planner.state.orders.append(start)
    refuse(harness, start)
    (again,) = harness.start_orders()
    assert again.number > start.number


def test_start_is_not_sent_after_the_vm_has_a_new_incarnation():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step())
    (start,) = harness.start_orders()
    assert start.incarnation == "1"
    harness.planner.state.orders.append(start)
    harness.add_vm(0, incarnation="2")
    (again,) = harness.start_orders()
    assert (again.number, again.incarnation) == (start.number + 1, "2")


def test_attempt_that_the_new_incarnation_lists_is_not_started_again():
    # A worker that restarts under the same instance may execute a call meant for its earlier life.
    harness = PlannerHarness(vms=2)
    harness.submit(small_step())
    (start,) = harness.start_orders()
    harness.add_vm(int(start.vm_id.removeprefix("vm-")), incarnation="2")
    harness.planner.record_task_list(
        start.vm_id, [RunningTask(start.task, start.number)], harness.now_s
    )
    assert harness.start_orders() == []

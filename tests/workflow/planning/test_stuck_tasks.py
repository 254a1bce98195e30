"""TaskStarter that stand still are told from those that are slow, pause or are not heard of."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step


def test_a_task_that_stands_still_is_moved():
    harness = PlannerHarness()
    harness.submit(small_step())
    start = harness.start_orders()[0]
    for percent in (0, 20, 40):
        harness.report_running([start], percent)
        assert harness.decide(after_s=1.0) == []
    harness.report_running([start], 40)
    assert harness.decide(after_s=1.0) == []
    harness.report_running([start], 40)
    assert [type(order) for order in harness.decide(after_s=1.0)] == [StopTask]


def pause_after(harness, worked_s, **fields):
    """Let a task work and then stand still; return how long it did when it was stopped."""
    harness.submit(small_step(1, estimate_s=20.0, **fields))
    start = harness.start_orders()[0]
    for second in range(worked_s + 1):
        harness.report_running([start], 5 * second)
        assert harness.decide(after_s=1.0) == []
    for silent_s in range(1, 10):
        harness.report_running([start], 5 * worked_s)
        if harness.decide(after_s=1.0):
            return silent_s
    return None


def test_the_more_a_new_start_would_repeat_the_longer_a_pause_may_be():
    assert [pause_after(PlannerHarness(), worked_s) for worked_s in (2, 3, 4)] == [2, 3, 4]


def test_a_task_that_can_go_on_from_a_checkpoint_is_moved_soon():
    assert pause_after(PlannerHarness(), 4, checkpointable=True) == 2


@pytest.mark.parametrize(("passed_s", "silent_s"), [(0.0, 8), (27.0, 4), (36.0, 2)])
def test_a_pause_is_waited_out_as_long_as_a_new_start_would_be_in_time(passed_s, silent_s):
    # The class allows 63 s for a run of 20 s; the task has worked for 8 s.
    harness = PlannerHarness()
    harness.wall_s += passed_s
    assert pause_after(harness, 8) == silent_s


def test_a_task_of_hours_goes_on_though_its_percentage_stands_for_minutes():
    harness = PlannerHarness()
    harness.submit(small_step(1, estimate_s=4 * 3600.0))
    start = harness.start_orders()[0]
    for minute in range(10):
        harness.report_running([start], minute // 2)
        assert harness.decide(after_s=60.0) == []


def test_a_task_that_is_slow_goes_on():
    harness = PlannerHarness()
    harness.submit(small_step())
    start = harness.start_orders()[0]
    for percent in range(10):
        harness.report_running([start], percent)
        assert harness.decide(after_s=4.5) == []


@pytest.mark.parametrize("gang", [True, False])
def test_a_task_that_is_nearly_done_is_not_taken_for_stuck(gang):
    harness = PlannerHarness()
    harness.submit(small_step(2, gang=gang))
    starts = harness.start_orders()
    for second, percent in enumerate((0, 30, 60, 98, 98, 98, 98)):
        harness.report_running(starts[:1], percent)
        harness.report_running(starts[1:], 15 * second)
        assert harness.decide(after_s=1.0) == []


def test_a_member_that_waits_for_a_slow_one_is_not_stuck():
    harness = PlannerHarness()
    harness.submit(small_step(2, gang=True))
    starts = harness.start_orders()
    for percent in range(10):
        harness.report_running(starts[:1], 100)
        harness.report_running(starts[1:], percent)
        assert harness.decide(after_s=1.0) == []


def steady(harness):
    """Return a start that has gained 15 % each second for three seconds."""
    harness.submit(small_step())
    start = harness.start_orders()[0]
    for second in range(4):
        harness.report_running([start], 15 * second)
        assert harness.decide(after_s=1.0) == []
    return start


def test_work_is_not_taken_for_stuck_while_its_vm_is_not_heard():
    harness = PlannerHarness()
    start = steady(harness)
    harness.planner.mark_unreachable(start.vm_id)
    for _ in range(3):
        assert harness.decide(after_s=1.0) == []


def test_work_that_was_frozen_together_with_its_vm_goes_on():
    harness = PlannerHarness()
    start = steady(harness)
    harness.decide(after_s=3.0)
    harness.report_running([start], 45)
    assert harness.decide(after_s=1.0) == []
    harness.report_running([start], 60)
    assert harness.decide(after_s=1.0) == []


def test_work_that_stands_still_after_a_pause_of_its_vm_is_stopped():
    harness = PlannerHarness()
    start = steady(harness)
    harness.decide(after_s=3.0)
    orders = []
    for _ in range(4):
        harness.report_running([start], 45)
        orders += harness.decide(after_s=1.0)
    assert [type(order) for order in orders] == [StopTask]


def test_a_list_that_the_worker_has_not_renewed_is_no_sign_of_stuck_work():
    harness = PlannerHarness()
    start = steady(harness)
    for age_s in range(1, 5):
        harness.report_running([start], 45, age_s=float(age_s))
        assert harness.decide(after_s=1.0) == []

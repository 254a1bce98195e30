"""Starts that stand still are told from those that are slow, pause or are not heard of."""

from __future__ import annotations

import pytest

from briardeal_workflow.planning import StopTask
from tests.workflow.planning.site import Site
from tests.workflow.samples import small_step


def test_a_task_that_stands_still_is_moved():
    site = Site()
    site.submit(small_step())
    start = site.starts()[0]
    for percent in (0, 20, 40):
        site.run([start], percent)
        assert site.decide(after_s=1.0) == []
    site.run([start], 40)
    assert site.decide(after_s=1.0) == []
    site.run([start], 40)
    assert [type(order) for order in site.decide(after_s=1.0)] == [StopTask]


def pause_after(site, worked_s, **fields):
    """Let a task work and then stand still; return how long it did when it was stopped."""
    site.submit(small_step(1, estimate_s=20.0, **fields))
    start = site.starts()[0]
    for second in range(worked_s + 1):
        site.run([start], 5 * second)
        assert site.decide(after_s=1.0) == []
    for silent_s in range(1, 10):
        site.run([start], 5 * worked_s)
        if site.decide(after_s=1.0):
            return silent_s
    return None


def test_the_more_a_new_start_would_repeat_the_longer_a_pause_may_be():
    assert [pause_after(Site(), worked_s) for worked_s in (2, 3, 4)] == [2, 3, 4]


def test_a_task_that_can_go_on_from_a_checkpoint_is_moved_soon():
    assert pause_after(Site(), 4, checkpoints=True) == 2


@pytest.mark.parametrize(("passed_s", "silent_s"), [(0.0, 8), (27.0, 4), (36.0, 2)])
def test_a_pause_is_waited_out_as_long_as_a_new_start_would_be_in_time(passed_s, silent_s):
    # The class allows 63 s for a run of 20 s; the task has worked for 8 s.
    site = Site()
    site.wall_s += passed_s
    assert pause_after(site, 8) == silent_s


def test_a_task_of_hours_goes_on_though_its_percentage_stands_for_minutes():
    site = Site()
    site.submit(small_step(1, estimate_s=4 * 3600.0))
    start = site.starts()[0]
    for minute in range(10):
        site.run([start], minute // 2)
        assert site.decide(after_s=60.0) == []


def test_a_task_that_is_slow_goes_on():
    site = Site()
    site.submit(small_step())
    start = site.starts()[0]
    for percent in range(10):
        site.run([start], percent)
        assert site.decide(after_s=4.5) == []


@pytest.mark.parametrize("gang", [True, False])
def test_a_task_that_is_nearly_done_is_not_taken_for_stuck(gang):
    site = Site()
    site.submit(small_step(2, gang=gang))
    starts = site.starts()
    for second, percent in enumerate((0, 30, 60, 98, 98, 98, 98)):
        site.run(starts[:1], percent)
        site.run(starts[1:], 15 * second)
        assert site.decide(after_s=1.0) == []


def test_a_member_that_waits_for_a_slow_one_is_not_stuck():
    site = Site()
    site.submit(small_step(2, gang=True))
    starts = site.starts()
    for percent in range(10):
        site.run(starts[:1], 100)
        site.run(starts[1:], percent)
        assert site.decide(after_s=1.0) == []


def steady(site):
    """Return a start that has gained 15 % each second for three seconds."""
    site.submit(small_step())
    start = site.starts()[0]
    for second in range(4):
        site.run([start], 15 * second)
        assert site.decide(after_s=1.0) == []
    return start


def test_work_is_not_taken_for_stuck_while_its_vm_is_not_heard():
    site = Site()
    start = steady(site)
    site.planner.lose_reach(start.vm_id)
    for _ in range(3):
        assert site.decide(after_s=1.0) == []


def test_work_that_was_frozen_together_with_its_vm_goes_on():
    site = Site()
    start = steady(site)
    site.decide(after_s=3.0)
    site.run([start], 45)
    assert site.decide(after_s=1.0) == []
    site.run([start], 60)
    assert site.decide(after_s=1.0) == []


def test_work_that_stands_still_after_a_pause_of_its_vm_is_stopped():
    site = Site()
    start = steady(site)
    site.decide(after_s=3.0)
    orders = []
    for _ in range(4):
        site.run([start], 45)
        orders += site.decide(after_s=1.0)
    assert [type(order) for order in orders] == [StopTask]


def test_a_list_that_the_worker_has_not_renewed_is_no_sign_of_stuck_work():
    site = Site()
    start = steady(site)
    for age_s in range(1, 5):
        site.run([start], 45, age_s=float(age_s))
        assert site.decide(after_s=1.0) == []

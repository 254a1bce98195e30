"""Jobs with little left are completed although their class gets too little capacity for all.

Guards against a wide job that can't be in time any more and takes all the capacity that its class
gets, because its objective, which counts the run time of a single task, is the earliest.
"""

from __future__ import annotations

from briardeal_standins.planning_load import EarliestObjective, simulate
from briardeal_workflow.job_table import Progress
from briardeal_workflow.planning import AttemptOutcome
from tests.workflow.planning.harness import WALL_S, PlannerHarness
from tests.workflow.samples import make_job, small_step, whole_vm_step

MORE_COMPLETED = 1.2
"""Least ratio of the jobs completed to those completed by the order of objectives alone."""


def replace_tasks(harness, running, after_s):
    """Let all running tasks end, and return the starts that follow."""
    harness.now_s += after_s
    for start in running:
        harness.report_outcome(start, AttemptOutcome.DONE)
    return harness.start_orders()


def test_wide_job_with_an_earlier_objective_does_not_hold_back_a_job_with_less_left():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=10.0))
    running = harness.start_orders()
    narrow = harness.submit(small_step(2, estimate_s=40.0))
    wide = harness.submit(small_step(45, estimate_s=10.0))
    starts = replace_tasks(harness, running, after_s=10.0)
    assert [start.task.job_id for start in starts] == 2 * [narrow.job_id] + 6 * [wide.job_id]


def test_job_goes_first_for_its_last_tasks():
    harness = PlannerHarness(vms=1)
    early = harness.submit(small_step(12, estimate_s=30.0))
    running = harness.start_orders()
    harness.submit(small_step(8, estimate_s=20.0))
    starts = replace_tasks(harness, running, after_s=30.0)
    assert [start.task.job_id for start in starts[:4]] == 4 * [early.job_id]


def test_wide_job_is_not_passed_over_for_ever():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=4.0))
    running = harness.start_orders()
    wide = harness.submit(small_step(10, estimate_s=4.0))
    # The rest of it would take 60 s on a share of 1/16 of the capacity.
    for _ in range(80):
        for _ in range(8):
            harness.submit(small_step(1, estimate_s=4.0))
        running = replace_tasks(harness, running, after_s=4.0)
        if any(start.task.job_id == wide.job_id for start in running):
            break
    assert 40.0 < harness.now_s < 68.0


def test_job_accepted_by_an_entry_whose_clock_is_ahead_does_not_lose_its_place():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=10.0))
    running = harness.start_orders()
    early = make_job(whole_vm_step(), accepted_s=WALL_S + 60.0)
    harness.planner.add_job(early, Progress(), harness.now_s)
    harness.decide(after_s=5.0)
    harness.submit(whole_vm_step())
    starts = replace_tasks(harness, running, after_s=5.0)
    assert [start.task.job_id for start in starts] == [early.job_id]


def test_occurrences_that_are_not_due_do_not_hold_a_job_back():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=10.0))
    running = harness.start_orders()
    schedule = {"occurrences": 100, "first_due_s": WALL_S, "interval_s": 60.0}
    repeated = harness.submit(small_step(2, estimate_s=10.0), **schedule)
    harness.submit(small_step(8, estimate_s=10.0))
    starts = replace_tasks(harness, running, after_s=10.0)
    assert [start.task.job_id for start in starts[:2]] == 2 * [repeated.job_id]


def test_gangs_go_by_their_objectives():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2, estimate_s=10.0))
    running = harness.start_orders()
    wide = harness.submit(whole_vm_step(2, estimate_s=10.0, gang=True), queue="batch")
    harness.submit(whole_vm_step(1, estimate_s=15.0, gang=True), queue="batch")
    starts = replace_tasks(harness, running, after_s=10.0)
    assert [start.task.job_id for start in starts] == 2 * [wide.job_id]


def test_more_bulk_jobs_are_completed_when_twice_the_capacity_is_asked_for():
    seeds = range(8)
    by_objective = simulate(EarliestObjective(), seeds, load=2.0)
    reports = simulate(None, seeds, load=2.0)
    assert reports["bulk"].in_time >= MORE_COMPLETED * by_objective["bulk"].in_time
    for queue in ("urgent", "batch"):
        # One job of these few may be placed otherwise.
        assert reports[queue].in_time >= by_objective[queue].in_time - 1


def test_no_job_is_lost_by_the_order_when_there_is_capacity_for_all():
    seeds = range(8)
    by_objective = simulate(EarliestObjective(), seeds, load=0.8)
    reports = simulate(None, seeds, load=0.8)
    for queue, report in reports.items():
        assert report.in_time >= by_objective[queue].in_time - 1

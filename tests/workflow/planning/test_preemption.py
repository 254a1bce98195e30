"""Urgent tasks preempt others as far as guarantees and the work lost allow."""

from __future__ import annotations

import msgspec
import pytest

from briardeal_workflow.job_table import Progress, encode_record
from briardeal_workflow.planning import AttemptOutcome, PlannerState, StopTask
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step, whole_vm_step


def test_urgent_task_within_its_guarantee_preempts_the_task_that_loses_least():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(), customer="south")
    old = harness.start_orders()
    for percent in (0, 24, 48, 72, 96):
        harness.report_running(old, percent)
        assert harness.decide(after_s=1.0 if percent < 96 else 0.0) == []
    harness.submit(whole_vm_step(), customer="south")
    young = harness.start_orders()
    harness.report_running(young)
    harness.submit(whole_vm_step(), queue="urgent", customer="north")
    assert harness.decide() == []
    assert harness.decide(after_s=0.5) == []
    stops = harness.decide(after_s=0.2)
    assert [stop.task for stop in stops] == [young[0].task]
    harness.report_outcome(young[0], AttemptOutcome.STOPPED)
    assert [start.task.job_id for start in harness.start_orders()] != []


def test_urgent_task_beyond_its_guarantee_preempts_no_more_work_than_its_own():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=100.0), customer="south")
    starts = harness.start_orders()
    harness.report_running(starts)
    harness.now_s = 20.0
    harness.report_running(starts, percent=20)
    harness.submit(whole_vm_step(estimate_s=5.0), queue="urgent", customer="nobody")
    assert harness.decide_after_preemption_delay() == []
    harness.submit(whole_vm_step(estimate_s=60.0), queue="urgent", customer="nobody")
    assert [type(order) for order in harness.decide_after_preemption_delay()] == [StopTask]


def test_urgent_tasks_of_another_customer_are_preempted_only_beyond_its_guarantee():
    harness = PlannerHarness(vms=3)
    harness.submit(whole_vm_step(3), queue="urgent", customer="south")
    harness.report_running(harness.start_orders())
    harness.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert harness.decide_after_preemption_delay() == []
    harness = PlannerHarness(vms=4)
    harness.submit(whole_vm_step(4), queue="urgent", customer="south")
    harness.report_running(harness.start_orders())
    harness.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert [type(order) for order in harness.decide_after_preemption_delay()] == [StopTask]


def test_preemption_stops_all_members_of_a_gang():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2, gang=True), customer="south")
    harness.report_running(harness.start_orders())
    harness.submit(whole_vm_step(1), queue="urgent", customer="north")
    assert len(harness.decide_after_preemption_delay()) == 2


def test_less_urgent_tasks_are_preempted_before_a_newly_started_urgent_task():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2), customer="south")
    bulk = harness.start_orders()
    harness.report_running(bulk)
    harness.decide(after_s=3.0)
    harness.submit(whole_vm_step(1, estimate_s=30.0), queue="urgent", customer="nobody")
    (stop,) = harness.decide_after_preemption_delay()
    harness.report_outcome(stop, AttemptOutcome.STOPPED)
    (urgent,) = harness.start_orders()
    harness.report_running([urgent])
    harness.submit(whole_vm_step(1), queue="urgent", customer="north")
    (stop,) = harness.decide_after_preemption_delay()
    assert stop.task.job_id == bulk[0].task.job_id


def test_preemptions_in_vain_count_against_the_work_of_the_urgent_task():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(1, estimate_s=100.0), customer="south")
    harness.submit(whole_vm_step(1, estimate_s=100.0), customer="south")
    bulk = harness.start_orders()
    harness.report_running(bulk)
    harness.decide(after_s=5.0)
    harness.report_running(bulk, percent=10)
    urgent = harness.submit(whole_vm_step(1, estimate_s=9.0), queue="urgent", customer="nobody")
    stops = 0
    for percent in (20, 30, 40, 50):
        for stop in [
            each for each in harness.decide_after_preemption_delay() if isinstance(each, StopTask)
        ]:
            assert stop.task.job_id != urgent.job_id
            stops += 1
            # The freed VM is lost before the urgent task starts on it.
            harness.report_outcome(stop, AttemptOutcome.STOPPED)
            harness.planner.remove_vm(stop.vm_id, harness.now_s)
            harness.add_vm(int(stop.vm_id[-1]), incarnation=str(stops + 1), leaving=True)
        harness.report_running(
            [each for each in bulk if each.vm_id in harness.running_vms()], percent=percent
        )
    assert stops == 1


def test_earlier_preemptions_of_other_tasks_do_not_keep_an_urgent_task_waiting():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=100.0), customer="south")
    for customer in ("north", "nobody"):
        bulk = harness.start_orders(after_s=0.1)
        harness.report_running(bulk)
        harness.decide(after_s=4.0)
        harness.submit(whole_vm_step(estimate_s=9.0), queue="urgent", customer=customer)
        stops = harness.decide_after_preemption_delay()
        assert [stop.task for stop in stops] == [bulk[0].task]
        harness.report_outcome(stops[0], AttemptOutcome.STOPPED)
        (urgent,) = harness.start_orders(after_s=0.1)
        harness.report_outcome(urgent, AttemptOutcome.DONE)


def test_urgent_task_stops_a_task_preempted_before_if_others_would_lose_too_much():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2, estimate_s=100.0), customer="south")
    running = harness.start_orders()
    harness.report_running(running)
    harness.decide(after_s=3.0)
    harness.submit(whole_vm_step(estimate_s=0.5), queue="urgent", customer="north")
    (first,) = harness.decide_after_preemption_delay()
    harness.report_outcome(first, AttemptOutcome.STOPPED)
    (urgent,) = harness.start_orders(after_s=0.1)
    harness.report_outcome(urgent, AttemptOutcome.DONE)
    harness.report_running(harness.start_orders(after_s=0.1))
    harness.submit(whole_vm_step(estimate_s=3.0), queue="urgent", customer="nobody")
    (second,) = harness.decide_after_preemption_delay()
    assert second.task == first.task


def test_next_preemption_is_due_when_the_urgent_task_has_waited_long_enough():
    harness = PlannerHarness(vms=1)
    assert harness.planner.next_preemption_s == float("inf")
    start_task_that_ends_soon(harness)
    harness.submit(whole_vm_step(), queue="urgent")
    assert harness.decide() == []
    (stop,) = harness.decide(after_s=harness.planner.next_preemption_s - harness.now_s)
    assert isinstance(stop, StopTask)
    assert harness.planner.next_preemption_s == float("inf")


def test_urgent_task_preempts_at_once_if_no_capacity_is_expected_to_become_free():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=4.0))
    running = harness.start_orders()
    for percent in (0, 10, 20, 30, 40):
        harness.report_running(running, percent)
        assert harness.decide(after_s=1.0) == []
    # By its declared run time, the task would have ended a second ago.
    harness.submit(whole_vm_step(), queue="urgent")
    assert [type(order) for order in harness.decide()] == [StopTask]


def test_urgent_task_does_not_wait_for_a_task_that_would_end_soon_only_by_its_declaration():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=1.0))
    harness.report_running(harness.start_orders())
    harness.decide(after_s=0.8)
    harness.submit(whole_vm_step(), queue="urgent")
    assert [type(order) for order in harness.decide()] == [StopTask]


def test_new_owner_preempts_nothing_at_once_while_vms_have_not_reported():
    harness = PlannerHarness(vms=1, takeover_complete=False)
    harness.submit(whole_vm_step(estimate_s=100.0))
    harness.report_running(harness.start_orders())
    harness.submit(whole_vm_step(), queue="urgent")
    assert harness.decide() == []
    harness.add_vm(1)
    (start,) = harness.decide(after_s=0.2)
    assert start.vm_id == "vm-1"


def test_urgent_task_does_not_wait_for_a_gang_with_a_slow_member():
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2, gang=True, estimate_s=4.0))
    running = harness.start_orders()
    for percent in (0, 24, 48, 72, 96):
        harness.report_running(running[:1], percent)
        harness.report_running(running[1:], percent // 4)
        assert harness.decide(after_s=1.0 if percent < 96 else 0.0) == []
    harness.submit(whole_vm_step(), queue="urgent")
    assert [type(order) for order in harness.decide()] == [StopTask, StopTask]


def start_task_that_ends_soon(harness):
    """Start a task that ends in 0.2 s at its pace, much earlier than declared; return its order."""
    harness.submit(whole_vm_step(estimate_s=100.0))
    (start,) = harness.start_orders()
    for percent in (0, 24, 48, 72, 96):
        harness.report_running([start], percent)
        assert harness.decide(after_s=1.0 if percent < 96 else 0.0) == []
    return start


def test_urgent_task_waits_for_a_task_that_will_end_soon_by_its_pace():
    harness = PlannerHarness(vms=1)
    running = start_task_that_ends_soon(harness)
    urgent = harness.submit(whole_vm_step(), queue="urgent")
    assert harness.decide() == []
    assert harness.decide(after_s=0.2) == []
    harness.report_outcome(running, AttemptOutcome.DONE)
    (start,) = harness.start_orders()
    assert start.task.job_id == urgent.job_id


def test_new_owner_knows_what_earlier_preemptions_cost_a_task():
    harness = PlannerHarness(vms=1)
    job = harness.submit(whole_vm_step(estimate_s=100.0), customer="south")
    bulk = harness.start_orders()
    harness.report_running(bulk)
    harness.decide(after_s=4.0)
    harness.submit(whole_vm_step(), queue="urgent", customer="north")
    (stop,) = harness.decide_after_preemption_delay()
    assert harness.planner.state.unsaved_checkpoints == {job.job_id}
    record = encode_record(harness.planner.state.active_jobs[job.job_id].progress())
    later = PlannerHarness(vms=1, epoch=2)
    later.planner.add_job(job, msgspec.msgpack.decode(record, type=Progress), later.now_s)
    (start,) = later.start_orders()
    history = later.planner.state.group_of(start.task).preemptions[0]
    assert history.count == 1
    assert history.lost_core_s == pytest.approx(stop.inputs["lost_core_s"], abs=0.5)


def test_reservation_keeps_small_tasks_off_the_vm_for_a_large_urgent_task():
    harness = PlannerHarness(vms=3)
    harness.submit(small_step(500, estimate_s=16.0))
    running = harness.start_orders()
    assert len(running) == 24
    urgent = harness.submit(whole_vm_step(1, estimate_s=0.5), queue="urgent", customer="nobody")
    for second in range(16):
        # Tasks end in the order of their starts, and others wait for the freed capacity.
        for start in running[:2]:
            harness.report_outcome(start, AttemptOutcome.DONE)
        running = running[2:] + harness.start_orders(after_s=1.0)
        harness.report_running(running, percent=second)
        if any(start.task.job_id == urgent.job_id for start in running):
            break
    # A VM is empty once its eight tasks have ended; the VM that is empty soonest is reserved.
    assert second < 8


def test_bulk_tasks_do_not_start_where_a_waiting_urgent_gang_is_about_to_stop_them():
    harness = PlannerHarness(vms=2)
    ends_soon = start_task_that_ends_soon(harness)
    urgent = harness.submit(whole_vm_step(2, gang=True), queue="urgent", customer="north")
    harness.submit(small_step(8, estimate_s=16.0), customer="south")
    assert harness.decide() == []
    harness.report_outcome(ends_soon, AttemptOutcome.DONE)
    starts = harness.start_orders(after_s=0.2)
    assert {start.task.job_id for start in starts} == {urgent.job_id}


def test_vm_that_becomes_free_early_is_kept_for_a_waiting_urgent_gang():
    harness = PlannerHarness(vms=3)
    for estimate_s in (30.0, 30.0, 1000.0):
        harness.submit(whole_vm_step(estimate_s=estimate_s), customer="south")
    running = harness.start_orders()
    harness.decide(after_s=20.0)
    harness.report_running(running, percent=1)
    step = whole_vm_step(2, gang=True, estimate_s=0.5)
    harness.submit(step, queue="urgent", customer="nobody")
    assert harness.decide_after_preemption_delay() == []
    harness.submit(small_step(8, estimate_s=16.0), customer="south")
    harness.report_outcome(running[2], AttemptOutcome.DONE)
    assert harness.start_orders(after_s=0.1) == []
    harness.report_outcome(running[0], AttemptOutcome.DONE)
    assert len(harness.start_orders(after_s=0.1)) == 2


def test_reservation_ends_when_the_urgent_job_is_cancelled():
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=16.0))
    running = harness.start_orders()
    harness.report_running(running)
    harness.decide(after_s=1.0)
    urgent = harness.submit(whole_vm_step(1, estimate_s=0.1), queue="urgent", customer="nobody")
    assert harness.decide_after_preemption_delay() == []
    harness.submit(small_step(1))
    harness.report_outcome(running[0], AttemptOutcome.DONE)
    assert harness.start_orders() == []
    harness.planner.cancel_job(urgent.job_id)
    assert len(harness.start_orders(after_s=1.0)) == 1


def test_members_of_a_gang_are_listed_a_few_times_a_round_however_many_tasks_are_placed(
    monkeypatch,
):
    gangs = 16
    harness = PlannerHarness(vms=16)
    for _ in range(gangs):
        harness.submit(small_step(8, gang=True, estimate_s=100.0), customer="south")
    running = harness.start_orders()
    for percent in (0, 1, 2):
        harness.report_running(running, percent)
        harness.decide(after_s=1.0)
    listed = []
    list_members = PlannerState.stopped_together

    def count_calls(state, attempt):
        listed.append(attempt)
        return list_members(state, attempt)

    monkeypatch.setattr(PlannerState, "stopped_together", count_calls)
    harness.submit(whole_vm_step(3, gang=True), queue="urgent", customer="north")
    stops = harness.decide()
    assert len(stops) == 24
    # Once each for the pace, for either cost of a preemption, and to spare.
    assert len(listed) <= 4 * gangs

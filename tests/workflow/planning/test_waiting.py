"""The log says what the tasks of a job wait for, once for each change."""

from __future__ import annotations

import pytest

from briardeal_core.events import add_log_destination, remove_log_destination
from briardeal_workflow.planning import AttemptOutcome
from tests.workflow.planning.harness import PlannerHarness
from tests.workflow.samples import small_step, whole_vm_step


@pytest.fixture
def lines():
    collected = []
    add_log_destination(collected.append)
    yield collected
    remove_log_destination(collected.append)


def find_waits(lines):
    return [
        (line["job_id"], line["cause"]) for line in lines if line["message_type"] == "job_waits"
    ]


def test_wait_for_capacity_is_logged_once(lines):
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step())
    (running,) = harness.start_orders()
    waiting = harness.submit(whole_vm_step())
    for _ in range(4):
        harness.report_running([running])
        harness.decide(after_s=0.5)
    assert find_waits(lines) == [(waiting.job_id, "no capacity was free")]
    harness.report_outcome(running, AttemptOutcome.DONE)
    assert len(harness.start_orders()) == 1


def test_wait_for_the_record_of_a_start_is_logged_once(lines):
    harness = PlannerHarness(vms=1)
    waiting = harness.submit(whole_vm_step())
    (start,) = harness.start_orders()
    vm = harness.planner.state.vms[start.vm_id]
    vm.attempts[start.task, start.number].awaits_record = True
    for _ in range(3):
        harness.decide(after_s=0.7)
    cause = "the store had not confirmed the record of the start"
    assert find_waits(lines) == [(waiting.job_id, cause)]
    assert start.inputs["known_for_s"] == 0.0
    assert start.inputs["ready_for_s"] == 0.0


def test_urgent_job_that_may_not_preempt_logs_why(lines):
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=100.0))
    starts = harness.start_orders()
    harness.report_running(starts)
    harness.decide(after_s=50.0)
    harness.report_running(starts, percent=50)
    urgent = harness.submit(whole_vm_step(estimate_s=1.0), queue="urgent", customer="nobody")
    harness.decide()
    harness.decide(after_s=1.2)
    cause = "making room would have cost more work than it brought"
    assert find_waits(lines) == [(urgent.job_id, cause)]


def test_starts_of_later_jobs_of_the_class_are_logged_at_each_power_of_two(lines):
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=10.0))
    running = harness.start_orders()
    harness.report_running(running)
    waiting = harness.submit(small_step(1, estimate_s=50.0))
    harness.decide()
    harness.decide(after_s=1.2)
    later = harness.submit(small_step(8, estimate_s=1.0))
    for start in running:
        harness.report_outcome(start, AttemptOutcome.DONE)
        harness.decide(after_s=0.1)
    passed = [line for line in lines if line["message_type"] == "job_passed_over"]
    assert {line["job_id"] for line in passed} == {waiting.job_id}
    assert {line["started"] for line in passed} == {later.job_id}
    assert [line["starts"] for line in passed] == [1, 2, 4, 8]
    assert passed[-1]["accepted_for_s"] == pytest.approx(2.0)
    assert passed[-1]["due_in_s"] > passed[-1]["started_due_in_s"]
    assert passed[-1]["work_left_core_s"] == 50.0 * (1 + 8)
    assert passed[-1]["started_work_left_core_s"] == 8 * 1.0 * (1 + 8)


def test_wait_beside_a_reserved_vm_is_logged_as_such(lines):
    harness = PlannerHarness(vms=1)
    harness.submit(small_step(8, estimate_s=16.0))
    running = harness.start_orders()
    harness.report_running(running)
    harness.decide(after_s=1.0)
    harness.submit(whole_vm_step(estimate_s=0.1), queue="urgent", customer="nobody")
    assert harness.decide_after_preemption_delay() == []
    waiting = harness.submit(small_step())
    harness.report_outcome(running[0], AttemptOutcome.DONE)
    for _ in range(4):
        harness.report_running(running[1:])
        assert harness.start_orders(after_s=0.5) == []
    waits = [cause for job_id, cause in find_waits(lines) if job_id == waiting.job_id]
    assert waits == ["free capacity was reserved for more urgent work"]


def test_wait_for_the_tasks_of_an_earlier_owner_is_logged(lines):
    harness = PlannerHarness(vms=1, takeover_complete=False)
    job = harness.submit(whole_vm_step(), takeover_pending=True)
    harness.decide()
    harness.decide(after_s=1.2)
    assert find_waits(lines) == [(job.job_id, "tasks of an earlier owner might still run")]


def test_stop_order_says_what_earlier_preemptions_cost_the_task():
    harness = PlannerHarness(vms=1)
    harness.submit(whole_vm_step(estimate_s=100.0), customer="south")
    stops = []
    for _ in range(2):
        harness.report_running(harness.start_orders(after_s=0.1))
        harness.decide(after_s=1.0)
        harness.submit(whole_vm_step(), queue="urgent", customer="north")
        stops += harness.decide_after_preemption_delay()
        harness.report_outcome(stops[-1], AttemptOutcome.STOPPED)
        (urgent,) = harness.start_orders(after_s=0.1)
        harness.report_outcome(urgent, AttemptOutcome.DONE)
    assert [stop.inputs["earlier_preemptions"] for stop in stops] == [0, 1]
    assert stops[0].inputs["earlier_lost_core_s"] == 0.0
    assert stops[1].inputs["earlier_lost_core_s"] == stops[0].inputs["lost_core_s"] > 0.0


def test_released_claims_are_logged_with_their_cause(lines):
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(2, estimate_s=100.0), customer="south")
    harness.report_running(harness.start_orders())
    urgent = harness.submit(whole_vm_step(2, gang=True), queue="urgent", customer="north")
    assert len(harness.decide()) == 2
    harness.add_vm(1, leaving=True)
    (line,) = [each for each in lines if each["message_type"] == "claims_released"]
    assert line["job_id"] == urgent.job_id
    assert line["cause"] == "vm-1 is leaving"
    assert "vm-1" in line["vms"]


def test_wait_for_a_vm_that_has_refused_the_task_is_logged(lines):
    harness = PlannerHarness(vms=1)
    job = harness.submit(small_step())
    for _ in range(6):
        while not (starts := harness.start_orders(after_s=0.1)):
            pass
        harness.report_outcome(starts[0], AttemptOutcome.REFUSED)
    harness.decide(after_s=0.1)
    assert set(find_waits(lines)) == {
        (job.job_id, "the VMs with free capacity have just refused its start")
    }


@pytest.mark.parametrize("queue", ["bulk", "urgent"])
def test_wait_while_only_unreachable_vms_have_free_capacity_is_logged(lines, queue):
    harness = PlannerHarness(vms=2)
    harness.submit(whole_vm_step(estimate_s=100.0), queue="urgent", customer="north")
    (running,) = harness.start_orders()
    harness.report_running([running])
    (other,) = {"vm-0", "vm-1"} - {running.vm_id}
    harness.planner.mark_unreachable(other, harness.now_s)
    harness.planner.extend_lease(other, harness.now_s + 100.0)
    job = harness.submit(whole_vm_step(), queue=queue, customer="north")
    harness.decide()
    harness.decide(after_s=1.2)
    cause = "the VMs with free capacity could not be reached"
    assert find_waits(lines) == [(job.job_id, cause)]

"""Reclaiming lent VMs: for urgent jobs, from slow checkpoints, and when VMs are lost meanwhile."""

from __future__ import annotations

import pytest

from briardeal_scheduling import Finished, Preempt, PreemptMode, Start, Stopped
from tests.scheduling.cluster import cluster, guarantee, run_all, submit

URGENT = (guarantee("urgent", 1, 8),)


def lent_cluster(checkpoint_s: float):
    """Return a full cluster of borrowed VMs, with checkpoints that take the given seconds."""
    scheduler = cluster(vms=1, carol=URGENT)
    for _ in range(3):
        scheduler.state.history.record_checkpoint("anna", "nightly", checkpoint_s)
    submit(scheduler, "lent")
    run_all(scheduler)
    return scheduler


@pytest.mark.parametrize(
    ("checkpoint_s", "mode"), [(0.3, PreemptMode.CHECKPOINT), (20.0, PreemptMode.STOP)]
)
def test_urgent_job_waits_for_a_checkpoint_only_if_its_target_allows(checkpoint_s, mode) -> None:
    scheduler = lent_cluster(checkpoint_s)
    submit(scheduler, "ask", 250.0, customer="carol", job_class="urgent")
    decisions = run_all(scheduler, 250.0)
    assert decisions["lent"] == Preempt("lent", mode, decisions["lent"].explanation)


def test_late_checkpoint_is_stopped_before_the_urgent_target() -> None:
    scheduler = lent_cluster(0.3)
    submit(scheduler, "ask", 250.0, customer="carol", job_class="urgent")
    run_all(scheduler, 250.0)
    next_round_s = scheduler.next_decision_s(250.0)
    assert 250.0 < next_round_s < 251.1
    assert run_all(scheduler, next_round_s)["lent"].mode is PreemptMode.STOP
    scheduler.report_ended("lent", Stopped(), next_round_s + 0.2)
    assert isinstance(run_all(scheduler, next_round_s + 0.2)["ask"], Start)
    assert "in time" in " ".join(scheduler.explain("lent", 260.0))


def test_job_whose_assigned_vm_is_lost_is_requeued_and_starts_elsewhere() -> None:
    scheduler = cluster(vms=2, carol=URGENT)
    submit(scheduler, "lent0")
    submit(scheduler, "lent1")
    run_all(scheduler)
    submit(scheduler, "ask", 10.0, customer="carol", job_class="urgent")
    (first,) = run_all(scheduler, 10.0)
    assigned_vm = scheduler.state.table.jobs["ask"].placement.workers[0]
    assert scheduler.worker_down(assigned_vm, 10.1) == [first]
    (second,) = run_all(scheduler, 10.1)
    assert {first, second} == {"lent0", "lent1"}
    scheduler.report_ended(second, Stopped(), 10.3)
    assert isinstance(run_all(scheduler, 10.3)["ask"], Start)


def test_preemptible_job_borrows_guaranteed_vms_but_pinned_job_does_not() -> None:
    scheduler = cluster(vms=2, carol=URGENT)
    submit(scheduler, "pinned0", checkpointable=False)
    for number in (1, 2, 3):
        submit(scheduler, f"pinned{number}", checkpointable=False)
    assert run_all(scheduler).keys() == {"pinned0"}
    assert "guaranteed" in scheduler.explain("pinned3", 0.0)[-1]
    submit(scheduler, "lent", 1.0)
    assert run_all(scheduler, 1.0).keys() == {"lent"}


def test_job_that_may_not_run_twice_is_abandoned_when_its_vm_is_lost() -> None:
    scheduler = cluster(vms=2)
    submit(scheduler, "draw", idempotent=False, checkpointable=False)
    start = run_all(scheduler)["draw"]
    scheduler.worker_down(start.placement.workers[0], 5.0)
    assert "may not run twice" in run_all(scheduler, 5.0)["draw"].explanation
    assert not scheduler.state.table.jobs


def count_preemptions(scheduler) -> list[int]:
    """Play six urgent jobs in turn on a full cluster; return the preemptions of each other job."""
    for _ in range(3):
        scheduler.state.history.record_checkpoint("anna", "nightly", 20.0)
    for number in range(3):
        submit(scheduler, f"lent{number}")
    run_all(scheduler)
    for number in range(6):
        now_s = 100.0 * (number + 1)
        submit(scheduler, f"ask{number}", now_s, customer="carol", job_class="urgent")
        (victim,) = run_all(scheduler, now_s)
        scheduler.report_ended(victim, Stopped(), now_s + 0.2)
        run_all(scheduler, now_s + 0.2)
        scheduler.report_ended(f"ask{number}", Finished(), now_s + 10.0)
        run_all(scheduler, now_s + 10.0)
    return [scheduler.state.table.jobs[f"lent{number}"].preemptions for number in range(3)]


def test_urgent_jobs_outside_guarantees_do_not_stop_the_same_job_each_time() -> None:
    assert count_preemptions(cluster(vms=3, carol=())) == [2, 2, 2]


def test_urgent_jobs_within_a_guarantee_do_not_stop_the_same_job_each_time() -> None:
    assert count_preemptions(cluster(vms=3, carol=URGENT)) == [2, 2, 2]

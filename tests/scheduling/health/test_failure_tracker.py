"""Failing VMs are distinguished from failing jobs."""

from __future__ import annotations

from briardeal_scheduling import Abandon, Failed, Finished
from tests.scheduling.cluster import cluster, run_all, submit


def fail(scheduler, job_id: str, now_s: float) -> float:
    """Report the failure of a job on its first VM, and return a time after its retry delay."""
    worker_id = scheduler.state.table.jobs[job_id].placement.workers[0]
    scheduler.report_ended(job_id, Failed(worker_id), now_s)
    return now_s + 130.0


def test_vm_that_fails_different_jobs_is_quarantined_and_tried_with_one_job() -> None:
    scheduler = cluster(vms=1)
    for number in range(3):
        submit(scheduler, f"job{number}", 10.0 * number)
        run_all(scheduler, 10.0 * number)
        fail(scheduler, f"job{number}", 10.0 * number + 1)
        scheduler.cancel(f"job{number}", 10.0 * number + 2)
    submit(scheduler, "next", 30.0, accelerators=1)
    submit(scheduler, "after", 31.0, accelerators=1)
    assert not run_all(scheduler, 30.0)
    assert run_all(scheduler, 700.0).keys() == {"next"}
    fail(scheduler, "next", 701.0)
    assert not run_all(scheduler, 1400.0)
    (tried,) = run_all(scheduler, 2000.0)
    scheduler.report_ended(tried, Finished(), 2001.0)
    assert not scheduler.state.failure_tracker.workers
    assert len(run_all(scheduler, 2002.0)) == 1


def test_job_that_fails_on_three_vms_is_abandoned_and_the_vms_are_cleared() -> None:
    scheduler = cluster(vms=4)
    submit(scheduler, "bad")
    now_s = 0.0
    for _ in range(3):
        run_all(scheduler, now_s)
        now_s = fail(scheduler, "bad", now_s + 1)
    decision = run_all(scheduler, now_s)["bad"]
    assert isinstance(decision, Abandon)
    assert "3 different VMs" in decision.explanation
    assert not any(
        health.failed_jobs for health in scheduler.state.failure_tracker.workers.values()
    )

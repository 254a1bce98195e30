"""Gangs start all tasks or none, on reserved VMs, and don't starve."""

from __future__ import annotations

from briardeal_core.configuration import Adjacency
from briardeal_scheduling import Finished, NotStarted, PreemptMode, Start
from tests.scheduling.cluster import cluster, run_all, submit


def test_gang_gets_reserved_vms_while_small_jobs_keep_arriving() -> None:
    scheduler = cluster(vms=3)
    for number in range(3):
        submit(scheduler, f"old{number}", checkpointable=False, declared_run_s=1000.0)
    run_all(scheduler)
    submit(scheduler, "gang", 1.0, tasks=3, adjacency=Adjacency.RACK, checkpointable=False)
    started = []
    for number in range(3):
        now_s = 100.0 * (number + 1)
        submit(scheduler, f"new{number}", now_s, checkpointable=False, declared_run_s=90_000.0)
        scheduler.report_ended(f"old{number}", Finished(), now_s)
        started += run_all(scheduler, now_s)
    assert started == ["gang"]


def test_short_job_is_backfilled_on_reserved_vms() -> None:
    scheduler = cluster(vms=2)
    for _number in range(30):
        scheduler.state.history.record_run("anna", "urgent", 10.0, 10.0)
    submit(scheduler, "old", checkpointable=False, declared_run_s=50_000.0)
    run_all(scheduler)
    submit(scheduler, "gang", 1.0, tasks=2, checkpointable=False)
    run_all(scheduler, 1.0)
    submit(scheduler, "short", 2.0, job_class="urgent", checkpointable=False, declared_run_s=10.0)
    assert isinstance(run_all(scheduler, 2.0)["short"], Start)


def test_gang_preempts_smaller_job_by_checkpoint() -> None:
    scheduler = cluster(vms=2)
    submit(scheduler, "small", accelerators=1)
    run_all(scheduler)
    submit(scheduler, "gang", 1.0, tasks=2, declared_run_s=90_000.0)
    assert not run_all(scheduler, 1.0)
    assert run_all(scheduler, 500.0)["small"].mode is PreemptMode.CHECKPOINT


def test_failed_reservation_of_one_task_frees_all_vms_of_the_gang() -> None:
    scheduler = cluster(vms=2)
    submit(scheduler, "gang", tasks=2, idempotent=False, checkpointable=False)
    scheduler.decide(0.0)
    scheduler.report_ended("gang", NotStarted("vm1"), 0.5)
    assert scheduler.state.fleet.free.capacities == {"vm0": 8, "vm1": 8}
    again = scheduler.decide(scheduler.next_decision_s(0.5))
    assert [(decision.job_id, decision.attempt) for decision in again] == [("gang", 2)]


def test_thousand_small_jobs_do_not_delay_urgent_job() -> None:
    scheduler = cluster(vms=3)
    for number in range(1000):
        submit(scheduler, f"small{number}", accelerators=1, checkpointable=False)
    submit(scheduler, "now", job_class="urgent")
    assert next(iter(run_all(scheduler))) == "now"

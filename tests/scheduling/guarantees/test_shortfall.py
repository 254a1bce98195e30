"""Guarantees after the loss of VMs."""

from __future__ import annotations

from tests.scheduling.cluster import cluster, guarantee, run_all, submit, worker


def test_shortfall_is_reported_and_vms_are_shared_max_min() -> None:
    scheduler = cluster(
        vms=6, dora=(guarantee("nightly", 4, 8),), emil=(guarantee("nightly", 2, 8),)
    )
    assert not scheduler.shortfalls()
    for number in (3, 4, 5):
        scheduler.worker_down(f"vm{number}", 1.0)
    first, second = scheduler.shortfalls()
    assert "dora can have 2 of its 4 guaranteed VMs for nightly" in first
    assert "emil can have 1 of its 2 guaranteed VMs for nightly" in second
    for number in (3, 4, 5):
        scheduler.worker_up(worker(number), 2.0)
    scheduler.decide(2.0)
    assert not scheduler.shortfalls()


def test_margin_keeps_a_vm_free_of_pinned_jobs_and_its_loss_is_reported() -> None:
    scheduler = cluster(vms=3, margin=1, dora=(guarantee("nightly", 1, 8),))
    for number in range(3):
        submit(scheduler, f"pinned{number}", checkpointable=False)
    assert run_all(scheduler).keys() == {"pinned0"}
    spare = scheduler.state.fleet.spare.capacities
    scheduler.worker_down(max(spare, key=spare.get), 1.0)
    assert scheduler.shortfalls() == ["All guarantees hold, but not if 1 more VM(s) fail."]


def test_job_adopted_after_a_restart_uses_its_guarantee_again() -> None:
    before = cluster(vms=3, dora=(guarantee("nightly", 2, 8),))
    submit(before, "job", customer="dora", tasks=2, checkpointable=False)
    start = run_all(before)["job"]
    request = before.state.table.jobs["job"].request
    after = cluster(vms=3, dora=(guarantee("nightly", 2, 8),))
    after.adopt(request, start.placement, 0.0)
    assert "job" in after.state.ledger.guarantee_by_job
    assert not after.shortfalls()
    submit(after, "pinned", 1.0, checkpointable=False)
    assert run_all(after, 1.0).keys() == {"pinned"}

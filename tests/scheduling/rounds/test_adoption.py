"""Jobs that run before the scheduler knows all of their VMs."""

from __future__ import annotations

from briardeal_scheduling.decisions import Finished, Start, Stopped
from tests.scheduling.cluster import cluster, run_all, submit, worker


def adopt_on_unknown_vm(**fields):
    """Return a scheduler without `vm1`, on which a job of two whole VMs already runs."""
    earlier = cluster(vms=2)
    submit(earlier, "running", tasks=2, **fields)
    placement = run_all(earlier)["running"].placement
    scheduler = cluster(vms=1)
    scheduler.adopt(earlier.state.table.jobs["running"].request, placement, 0.0)
    return scheduler


def test_vm_that_comes_up_after_its_job_was_adopted_is_not_free():
    scheduler = adopt_on_unknown_vm()
    scheduler.worker_up(worker(1), 1.0)
    submit(scheduler, "waiting", 1.0)
    assert not any(isinstance(each, Start) for each in scheduler.decide(1.0))
    scheduler.report_ended("running", Finished(), 2.0)
    assert run_all(scheduler, 2.0).keys() == {"waiting"}


def test_vm_that_comes_up_after_its_job_has_ended_is_free():
    scheduler = adopt_on_unknown_vm()
    scheduler.report_ended("running", Finished(), 1.0)
    scheduler.worker_up(worker(1), 1.0)
    for name in ("first", "second"):
        submit(scheduler, name, 1.0)
    assert run_all(scheduler, 1.0).keys() == {"first", "second"}


def test_vm_that_comes_up_while_its_job_stops_counts_it_as_leaving():
    scheduler = adopt_on_unknown_vm()
    scheduler.cancel("running", 1.0)
    scheduler.worker_up(worker(1), 1.0)
    assert scheduler.state.fleet.workers["vm1"].leaving == worker(1).accelerators
    scheduler.report_ended("running", Stopped(), 2.0)
    assert scheduler.state.fleet.workers["vm1"].leaving == 0


def test_vm_that_comes_up_holds_no_pinned_accelerators_after_its_job_has_ended():
    scheduler = adopt_on_unknown_vm(checkpointable=False)
    scheduler.worker_up(worker(1), 1.0)
    scheduler.report_ended("running", Finished(), 2.0)
    assert [each.pinned for each in scheduler.state.fleet.workers.values()] == [0, 0]

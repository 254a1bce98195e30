"""Jobs that can never run are rejected; other jobs wait, with the cause recorded."""

from __future__ import annotations

import math

import pytest

from briardeal_core.configuration import Adjacency
from briardeal_core.reasons import Reason, RunState
from tests.scheduling.cluster import cluster, guarantee, run_all, submit


@pytest.mark.parametrize(
    ("job", "reason", "words"),
    [
        ({"tasks": 4, "adjacency": Adjacency.RACK}, Reason.JOB_NEVER_FITS, "close enough"),
        ({"accelerators": 9}, Reason.JOB_NEVER_FITS, "close enough"),
        ({"customer": "boris", "tasks": 3}, Reason.JOB_NEVER_FITS, "quota of boris is 16"),
        ({"tasks": 4, "checkpointable": False}, Reason.JOB_NEVER_FITS, "guarantees leave no room"),
        ({"customer": "nobody"}, Reason.REQUEST_INVALID, "No customer nobody"),
        ({"job_class": "yearly"}, Reason.REQUEST_INVALID, "No class yearly"),
        ({"tasks": 0}, Reason.REQUEST_INVALID, "one task or more"),
        ({"tasks": -1}, Reason.REQUEST_INVALID, "one task or more"),
        ({"accelerators": -2}, Reason.REQUEST_INVALID, "zero or more"),
        ({"declared_run_s": 0.0}, Reason.REQUEST_INVALID, "run time above zero"),
        ({"declared_run_s": math.nan}, Reason.REQUEST_INVALID, "run time above zero"),
        ({"declared_run_s": math.inf}, Reason.REQUEST_INVALID, "run time above zero"),
    ],
)
def test_job_that_can_never_run_is_rejected(job, reason, words) -> None:
    scheduler = cluster(vms=4, carol=(guarantee("urgent", 1, 8),))
    refusal = submit(scheduler, "job", **job)
    assert refusal.reason is reason
    assert refusal.run_state is RunState.NOT_RUN
    assert words in refusal.sentence
    submit(scheduler, "other")
    assert run_all(scheduler).keys() == {"other"}


def test_job_that_needs_a_lost_vm_waits_instead_of_being_rejected() -> None:
    scheduler = cluster(vms=2)
    scheduler.worker_down("vm1", 1.0)
    assert submit(scheduler, "gang", 2.0, tasks=2) is None
    assert not run_all(scheduler, 2.0)


def test_job_over_quota_waits_until_another_of_its_customer_ends() -> None:
    scheduler = cluster(vms=3)
    for number in range(3):
        submit(scheduler, f"job{number}", customer="boris")
    assert run_all(scheduler).keys() == {"job0", "job1"}
    assert "16 of the 16 accelerators" in scheduler.explain("job2", 1.0)[-1]
    assert scheduler.cancel("job0", 2.0)
    assert run_all(scheduler, 2.0)["job0"].explanation == "Its customer cancelled it."

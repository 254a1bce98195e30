"""The fold of the job stream depends on the records and their order alone."""

from __future__ import annotations

import pytest

from briardeal.jobs import JobTable
from briardeal.jobs._records import (
    AttemptEnded,
    JobAccepted,
    JobEnded,
    JobPlaced,
    OwnerStarted,
)
from briardeal_core.jobs import JobState
from briardeal_core.log import Delivered
from tests.entry.jobs.cluster import create_job


def fold(*records, job_table=None):
    job_table = job_table or JobTable()
    for number, record in enumerate(records):
        job_table.apply(Delivered(record, number, str(number), float(number)))
    return job_table


def placed(token, attempt, worker="w"):
    return JobPlaced(job_id="j", attempt=attempt, workers=(worker,), token=token, why="placed")


START = [
    JobAccepted(job=create_job(job_id="j"), region="r"),
    OwnerStarted(region="r", token=1),
    placed(1, 1),
    OwnerStarted(region="r", token=5),
]


@pytest.mark.parametrize(
    "late",
    [
        placed(1, 2, "late"),
        AttemptEnded(job_id="j", attempt=1, token=1, why="late"),
        JobEnded(job_id="j", state=JobState.FAILED, why="late", token=1),
    ],
)
def test_decisions_of_an_earlier_owner_change_nothing(late):
    assert fold(*START, late).dump() == fold(*START).dump()


def test_finished_counts_from_anyone_and_is_final():
    finished = JobEnded(job_id="j", state=JobState.FINISHED, why="all finished", token=1)
    job_table = fold(*START, finished, placed(5, 2))
    assert job_table.jobs["j"].state is JobState.FINISHED
    assert not job_table.active


def test_a_snapshot_holds_the_whole_fold():
    job_table = fold(*START)
    again = JobTable()
    assert again.restore(job_table.dump())
    more = [placed(5, 2), AttemptEnded(job_id="j", attempt=2, token=5, why="over")]
    assert fold(*more, job_table=again).dump() == fold(*more, job_table=job_table).dump()
    assert not again.restore(b"\xc1")

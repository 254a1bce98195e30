"""The job table depends only on the records of the job stream and their order."""

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
from briardeal_core.log import StreamRecord
from tests.entry.jobs.cluster import create_job


def build_table(*records, job_table=None):
    job_table = job_table or JobTable()
    for number, record in enumerate(records):
        job_table.apply(StreamRecord(record, number, str(number), float(number)))
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
def test_late_decision_of_earlier_owner_is_ignored(late):
    assert build_table(*START, late).dump() == build_table(*START).dump()


def test_finished_record_of_earlier_owner_counts_and_is_final():
    finished = JobEnded(job_id="j", state=JobState.FINISHED, why="all finished", token=1)
    job_table = build_table(*START, finished, placed(5, 2))
    assert job_table.jobs["j"].state is JobState.FINISHED
    assert not job_table.active


def test_snapshot_restores_the_job_table():
    job_table = build_table(*START)
    restored = JobTable()
    assert restored.restore(job_table.dump())
    more = [placed(5, 2), AttemptEnded(job_id="j", attempt=2, token=5, why="over")]
    assert (
        build_table(*more, job_table=restored).dump()
        == build_table(*more, job_table=job_table).dump()
    )
    assert not restored.restore(b"\xc1")

"""The fold of the job stream depends on the records and their order alone."""

from __future__ import annotations

import pytest

from briardeal.jobs import JobBoard
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


def fold(*records, board=None):
    board = board or JobBoard()
    for number, record in enumerate(records):
        board.apply(StreamRecord(record, number, str(number), float(number)))
    return board


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
    board = fold(*START, finished, placed(5, 2))
    assert board.jobs["j"].state is JobState.FINISHED
    assert not board.active


def test_a_snapshot_holds_the_whole_fold():
    board = fold(*START)
    again = JobBoard()
    assert again.restore(board.dump())
    more = [placed(5, 2), AttemptEnded(job_id="j", attempt=2, token=5, why="over")]
    assert fold(*more, board=again).dump() == fold(*more, board=board).dump()
    assert not again.restore(b"\xc1")

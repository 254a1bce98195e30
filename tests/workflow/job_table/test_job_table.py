"""The state of a job depends on the newest record of each key, in whatever order they are read."""

from __future__ import annotations

import itertools

import pytest

from briardeal_workflow.job_table import (
    JobState,
    JobTable,
    Progress,
    cancel_key,
    encode_record,
    job_key,
    progress_key,
)
from tests.workflow.samples import make_job

JOB = make_job(queue="bulk")
RECORDS = [
    (job_key(JOB.job_id), encode_record(JOB), 0),
    (progress_key(JOB.job_id), encode_record(Progress(started=True)), 1),
    (progress_key(JOB.job_id), encode_record(Progress(True, "completed", ((0, 0, 0),))), 2),
    (cancel_key(JOB.job_id), b"\x01", 3),
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_state_does_not_depend_on_the_order_of_records(order):
    table = JobTable()
    for number in order:
        table.apply(*RECORDS[number], 0.0)
    assert table.get(JOB.job_id).state is JobState.COMPLETED


@pytest.mark.parametrize(
    ("count", "state"), [(1, JobState.QUEUED), (2, JobState.RUNNING), (3, JobState.COMPLETED)]
)
def test_state_and_pending_count_follow_from_records(count, state):
    table = JobTable()
    for record in RECORDS[:count]:
        table.apply(*record, 0.0)
    assert table.get(JOB.job_id).state is state
    assert table.count_pending("bulk") == (1 if state is JobState.QUEUED else 0)


def test_cancelled_job_counts_as_finished():
    table = JobTable()
    table.apply(*RECORDS[0], 0.0)
    table.apply(*RECORDS[3], 5.0)
    assert table.get(JOB.job_id).state is JobState.CANCELLED
    assert table.finished_before(4.0) == []
    assert table.finished_before(6.0) == [JOB.job_id]


@pytest.mark.parametrize("key", ["", "job", "other/1", "job/", "progress/1"])
@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"{}", None])
def test_unreadable_records_add_no_job(key, value):
    table = JobTable()
    table.apply(key, value, 0, 0.0)
    assert table.get(key.partition("/")[2]) is None


def test_job_with_progress_but_no_job_record_is_unknown():
    table = JobTable()
    table.apply(*RECORDS[1], 0.0)
    assert table.get(JOB.job_id) is None

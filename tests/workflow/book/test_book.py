"""States of jobs follow from the newest record of each key, in whatever order those are read."""

from __future__ import annotations

import itertools

import pytest

from briardeal_workflow.book import (
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
def test_the_order_of_records_does_not_matter(order):
    book = JobTable()
    for number in order:
        book.apply(*RECORDS[number], 0.0)
    assert book.get(JOB.job_id).state is JobState.COMPLETED


@pytest.mark.parametrize(
    ("count", "state"), [(1, JobState.QUEUED), (2, JobState.RUNNING), (3, JobState.COMPLETED)]
)
def test_states(count, state):
    book = JobTable()
    for record in RECORDS[:count]:
        book.apply(*record, 0.0)
    assert book.get(JOB.job_id).state is state
    assert book.count_pending("bulk") == (1 if state is JobState.QUEUED else 0)


def test_a_job_that_was_cancelled_before_it_was_done():
    book = JobTable()
    book.apply(*RECORDS[0], 0.0)
    book.apply(*RECORDS[3], 5.0)
    assert book.get(JOB.job_id).state is JobState.CANCELLED
    assert book.finished_before(4.0) == []
    assert book.finished_before(6.0) == [JOB.job_id]


@pytest.mark.parametrize("key", ["", "job", "other/1", "job/", "progress/1"])
@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"{}", None])
def test_records_of_another_writer_make_no_job(key, value):
    book = JobTable()
    book.apply(key, value, 0, 0.0)
    assert book.get(key.partition("/")[2]) is None


def test_a_job_without_a_record_of_its_own_is_not_known():
    book = JobTable()
    book.apply(*RECORDS[1], 0.0)
    assert book.get(JOB.job_id) is None

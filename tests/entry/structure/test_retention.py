"""Accepted jobs survive the log's retention and the replacement of all entries."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.jobs import JobTable
from briardeal.jobs._job_table import ENDED_RETENTION_S
from briardeal.jobs._records import JobAccepted, JobEnded
from briardeal_core.configuration import Configuration, Customer, JobClass
from briardeal_core.configuration.store import Accepted
from briardeal_core.jobs import JobRequest, JobState
from briardeal_core.log import StreamRecord, encode_envelope
from briardeal_standins.deployment import Deployment

pytestmark = pytest.mark.looptime

ENTRIES = {"a": "koper", "b": "koper"}
RETENTION_S = 400.0
SETTLE_S = 60.0
CONFIGURATION = Configuration(
    classes=(JobClass(name="sampling", finish_within_s=600),), customers=(Customer(name="c"),)
)


def create_job(**fields):
    known = {"job_id": "", "customer": "c", "job_class": "sampling", "tasks": 1}
    return JobRequest(**{**known, "accelerators_per_task": 4, "command": "5", **fields})


async def submit(deployment, **fields):
    job = await deployment.running["a"].jobs.submit(create_job(**fields))
    assert isinstance(job, JobRequest), job
    return job.job_id


async def test_jobs_survive_retention_and_replacement_of_all_entries_and_run_once():
    async with Deployment(ENTRIES, RETENTION_S) as deployment:
        await deployment.add_worker("w", "koper")
        outcome = await deployment.running["a"].configuration.apply(CONFIGURATION, 0, "ann")
        assert isinstance(outcome, Accepted)
        await asyncio.sleep(SETTLE_S)
        done = await submit(deployment, idempotent=False)
        await asyncio.sleep(SETTLE_S)
        long = await submit(deployment, accelerators_per_task=8, command="3000")
        await asyncio.sleep(SETTLE_S)
        waiting = await submit(deployment, accelerators_per_task=8)
        await asyncio.sleep(3 * RETENTION_S)
        assert deployment.store.read("jobs", 0, 1).oldest_offset > 0
        await deployment.replace_all()
        await asyncio.sleep(SETTLE_S)
        jobs = deployment.running["b"].job_table.jobs
        assert (jobs[done].state, jobs[done].attempt) == ("finished", 1)
        assert (jobs[long].state, jobs[long].attempt) == ("running", 1)
        assert jobs[waiting].state == "waiting"
        ran = sorted(deployment.workers["w"].running)
        assert ran == sorted([f"{done}.1", f"{long}.1"])


async def test_damaged_newest_snapshot_falls_back_to_an_older_one():
    async with Deployment(ENTRIES, RETENTION_S) as deployment:
        job_id = await submit(deployment)
        await asyncio.sleep(3 * RETENTION_S)
        entries = deployment.store.streams["jobs.snapshots"].entries
        newest = entries[-1]
        assert len(entries) > 1
        entries[-1] = type(newest)(
            newest.offset, newest.append_id, encode_envelope([b"torn"]), newest.appended_at_s
        )
        await deployment.replace_all()
        await asyncio.sleep(SETTLE_S)
        for entry in deployment.running.values():
            assert job_id in entry.job_table.jobs
            assert entry.jobs.follower.snapshots.rejected > 0


def test_ended_jobs_expire_from_a_restored_job_table_like_from_the_original():
    job_table, restored = JobTable(), JobTable()
    for at_s, record in enumerate(
        [
            JobAccepted(job=create_job(job_id="first"), region="koper"),
            JobAccepted(job=create_job(job_id="second"), region="koper"),
            JobEnded(job_id="second", state=JobState.FINISHED, why="It ended."),
        ]
    ):
        job_table.apply(StreamRecord(record, at_s, str(at_s), at_s))
    late = JobEnded(job_id="first", state=JobState.FINISHED, why="It ended.")
    job_table.apply(StreamRecord(late, 3, "3", ENDED_RETENTION_S))
    restored.restore(job_table.dump())
    for each in (job_table, restored):
        each.apply(StreamRecord(late, 4, "4", ENDED_RETENTION_S + 10))
    assert list(job_table.jobs) == list(restored.jobs) == ["first"]

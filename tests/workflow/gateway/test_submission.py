"""Submissions while the store does not answer or answers too late."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_core.reasons import Reason, RunState
from briardeal_standins.emulator import StoreFault, TaskBehavior
from tests.workflow.samples import make_job
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

MAX_DURATION_S = 1.6
"""Two appends with a timeout of 0.7 s each, and the pauses; callers wait 3 s in all."""


async def test_submission_is_refused_before_its_deadline_if_store_does_not_answer():
    async with run_site() as site:
        site.store.faults[""] = StoreFault.SILENT
        started_s = loop_time()
        refusal = await site.entry("entry-0").gateway.submit(make_job(), loop_time() + 3.0)
        assert loop_time() - started_s <= MAX_DURATION_S
        assert refusal.run_state is RunState.UNKNOWN
        assert refusal.reason is Reason.LOG_ANSWER_LOST
        assert refusal.retry_after_s
        site.store.faults.clear()


async def test_second_append_confirms_submission_if_first_answer_is_lost():
    async with run_site() as site:
        site.store.faults["entry-0"] = StoreFault.LOSES_ANSWERS
        job = make_job()
        started_s = loop_time()
        assert await site.submit(job, TaskBehavior(1.0), "entry-0")
        assert loop_time() - started_s <= MAX_DURATION_S
        await site.wait_for_state(job.job_id, "completed", 5.0)


async def test_retry_of_unconfirmed_submission_is_accepted_and_runs_job_once():
    async with run_site() as site:
        site.store.faults[""] = StoreFault.WRITES_LATE
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0), "entry-0") is None
        site.store.faults.clear()
        await asyncio.sleep(1.0)
        assert await site.submit(job, TaskBehavior(1.0), "entry-1")
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.start_count == 1

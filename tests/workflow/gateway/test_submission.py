"""Submissions while the store does not answer."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import loop_time
from briardeal_core.reasons import Reason, RunState
from briardeal_standins.emulator import Plan, StoreFault
from tests.workflow.samples import make_job
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

GIVEN_UP_S = 1.6
"""Two tries of 0.7 s and the pauses after them; callers wait 3 s in all."""


async def test_a_call_that_no_way_to_the_store_answers_is_given_up_before_its_deadline():
    async with run_site() as site:
        site.store.faults[""] = StoreFault.SILENT
        began_s = loop_time()
        refusal = await site.entry("entry-0").gateway.submit(make_job(), loop_time() + 3.0)
        assert loop_time() - began_s <= GIVEN_UP_S
        assert refusal.run_state is RunState.UNKNOWN
        assert refusal.reason is Reason.LOG_ANSWER_LOST
        assert refusal.retry_after_s
        site.store.faults.clear()


async def test_a_call_whose_first_answer_was_lost_is_answered_by_the_second_try():
    async with run_site() as site:
        site.store.faults["entry-0"] = StoreFault.LOSES_ANSWERS
        job = make_job()
        began_s = loop_time()
        assert await site.submit(job, Plan(1.0), "entry-0")
        assert loop_time() - began_s <= GIVEN_UP_S
        await site.wait_for_state(job.job_id, "completed", 5.0)


async def test_a_job_that_was_given_up_is_taken_when_its_caller_comes_back():
    async with run_site() as site:
        site.store.faults[""] = StoreFault.WRITES_LATE
        job = make_job()
        assert await site.submit(job, Plan(1.0), "entry-0") is None
        site.store.faults.clear()
        await asyncio.sleep(1.0)
        assert await site.submit(job, Plan(1.0), "entry-1")
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.starts == 1

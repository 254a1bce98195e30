"""Each record is written once, or the caller is told what is known."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.log import Priority, Written
from briardeal_core.reasons import Reason, RunState
from briardeal_standins.log import MemoryLog
from tests.core.log.samples import Added, Process, running, settle

pytestmark = pytest.mark.looptime


async def test_lost_acknowledgement_is_settled_by_reading_back():
    log = MemoryLog()
    process = Process(log)
    log.faults.lost_acknowledgements = 1
    async with running(process.writer):
        outcome = await process.writer.append(Added(1))
    assert isinstance(outcome, Written)
    assert log.store.appends == 1


async def test_late_write_and_retry_count_once():
    log = MemoryLog()
    process = Process(log)
    log.faults.late_writes = 2
    log.faults.late_write_s = 3
    async with running(process.writer, process.follower):
        outcome = await process.writer.append(Added(1))
        await settle(10)
    assert isinstance(outcome, Written)
    assert log.store.appends == 3
    assert process.view.numbers == [1]


async def test_outage_before_the_append_is_told_as_not_run():
    log = MemoryLog()
    process = Process(log)
    log.faults.outage = True
    async with running(process.writer):
        outcome = await process.writer.append(Added(1), deadline_s=3)
        log.faults.outage = False
        await settle(30)
    assert (outcome.reason, outcome.run_state) == (Reason.LOG_UNAVAILABLE, RunState.NOT_RUN)
    assert log.store.appends == 0


async def test_outage_after_the_write_is_told_as_unknown():
    log = MemoryLog()
    process = Process(log)
    log.faults.lost_acknowledgements = 1
    log.faults.delay_s = 0.5
    async with running(process.writer):
        appending = asyncio.create_task(process.writer.append(Added(1), deadline_s=3))
        await settle(0.6)
        log.faults.outage = True
        outcome = await appending
    assert (outcome.reason, outcome.run_state) == (Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)


async def test_full_queue_refuses_and_keeps_room_for_acceptance():
    log = MemoryLog()
    process = Process(log)
    process.writer.queue.limit_records = 5
    log.faults.outage = True
    async with running(process.writer):
        statistics = [
            asyncio.create_task(process.writer.append(Added(i), Priority.STATISTICS))
            for i in range(12)
        ]
        await settle(0.01)
        accepted = asyncio.create_task(process.writer.append(Added(99)))
        await settle(0.01)
        log.faults.outage = False
        outcomes = await asyncio.gather(*statistics)
        assert isinstance(await accepted, Written)
    refused = [outcome for outcome in outcomes if not isinstance(outcome, Written)]
    assert {outcome.reason for outcome in refused} == {Reason.LOG_BACKLOG}
    assert len(refused) >= 2


async def test_rate_is_kept_by_batching_and_acceptance_goes_first():
    log = MemoryLog()
    process = Process(log)
    async with running(process.writer, process.follower):
        statistics = [
            asyncio.create_task(process.writer.append(Added(i), Priority.STATISTICS, deadline_s=60))
            for i in range(900)
        ]
        accepted = asyncio.create_task(process.writer.append(Added(1000)))
        await asyncio.gather(accepted, *statistics)
        await settle()
    assert log.store.appends <= 900 / 100 + 1
    assert process.view.numbers[0] == 1000
    assert sorted(process.view.numbers) == [*range(900), 1000]


async def test_stopping_answers_everyone():
    log = MemoryLog()
    process = Process(log)
    log.faults.outage = True
    async with running(process.writer):
        appending = asyncio.create_task(process.writer.append(Added(1), deadline_s=60))
        await settle(1)
    assert (await appending).run_state is RunState.UNKNOWN

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


async def test_reading_back_skips_what_stood_there_before(monkeypatch):
    log = MemoryLog()
    for number in range(2000):
        await log.append("s", b"", str(number))
    reads = []
    read = log.store.read
    monkeypatch.setattr(log.store, "read", lambda *args: reads.append(args) or read(*args))
    log.faults.lost_acknowledgements = 1
    process = Process(log)
    async with running(process.writer):
        assert (await process.writer.append(Added(1))).offset == 2000
    assert reads == [("s", 0, 1), ("s", 2000, 500)]


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


async def test_record_told_as_not_run_leaves_its_batch():
    log = MemoryLog()
    process = Process(log)
    log.faults.outage = True
    async with running(process.writer, process.follower):
        short = asyncio.create_task(process.writer.append(Added(1), deadline_s=2))
        long = asyncio.create_task(process.writer.append(Added(2), deadline_s=30))
        await settle(10)
        log.faults.outage = False
        assert isinstance(await long, Written)
        await settle()
    assert (await short).run_state is RunState.NOT_RUN
    assert process.view.numbers == [2]


async def test_deadline_holds_behind_an_append_that_is_stuck():
    log = MemoryLog()
    process = Process(log)
    async with running(process.writer):
        await process.writer.append(Added(0))
        log.faults.delay_s = 100
        stuck = asyncio.create_task(
            process.writer.append(Added(1), Priority.STATISTICS, deadline_s=60)
        )
        await settle(1)
        behind = await process.writer.append(Added(2), deadline_s=2)
        assert asyncio.get_running_loop().time() <= 3.2
        assert behind.run_state is RunState.NOT_RUN
        assert (await stuck).run_state is RunState.UNKNOWN


async def test_acceptance_does_not_wait_for_the_share_kept_from_statistics():
    log = MemoryLog()
    process = Process(log)
    loop = asyncio.get_running_loop()
    async with running(process.writer):
        for _ in range(8):
            await process.writer.budget.acquire(Priority.ACCEPTANCE)
        statistics = asyncio.create_task(process.writer.append(Added(1), Priority.STATISTICS))
        await settle(0.01)
        before_s = loop.time()
        await process.writer.append(Added(2))
        assert loop.time() - before_s < 0.1
        await statistics


async def test_rate_holds_and_statistics_leave_a_share():
    log = MemoryLog()
    loop = asyncio.get_running_loop()
    process = Process(log)
    process.writer.batch_limit_records = 1
    async with running(process.writer):
        for number in range(5):
            await process.writer.append(Added(number), Priority.STATISTICS)
        assert loop.time() < 0.05
        await process.writer.append(Added(5), Priority.STATISTICS)
        assert loop.time() >= 0.05
        for number in range(100):
            await process.writer.append(Added(number))
    assert loop.time() >= (100 - 10) / 10


@pytest.mark.parametrize(
    ("fault", "run_state"),
    [("outage", RunState.NOT_RUN), ("late_writes", RunState.UNKNOWN)],
)
async def test_stopping_answers_everyone(fault, run_state):
    log = MemoryLog()
    process = Process(log)
    setattr(log.faults, fault, 100)
    async with running(process.writer):
        appending = asyncio.create_task(process.writer.append(Added(1), deadline_s=60))
        await settle(1)
    outcome = await appending
    assert (outcome.reason, outcome.run_state) == (Reason.SHUTTING_DOWN, run_state)

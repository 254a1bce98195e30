"""Each record is written once, or the caller receives a refusal with the known run state."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.log import Priority, Written
from briardeal_core.reasons import Reason, RunState
from briardeal_standins.log import MemoryLog
from tests.core.log.samples import Added, Process, advance_time, running

pytestmark = pytest.mark.looptime


async def test_lost_acknowledgement_is_resolved_by_reading_back():
    log = MemoryLog()
    process = Process(log)
    log.faults.lost_acknowledgements = 1
    async with running(process.writer):
        outcome = await process.writer.append(Added(1))
    assert isinstance(outcome, Written)
    assert log.store.appends == 1


async def test_reading_back_skips_older_entries(monkeypatch):
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


async def test_late_write_and_its_retry_count_as_one_record():
    log = MemoryLog()
    process = Process(log)
    log.faults.late_writes = 2
    log.faults.late_write_s = 3
    async with running(process.writer, process.follower):
        outcome = await process.writer.append(Added(1))
        await advance_time(10)
    assert isinstance(outcome, Written)
    assert log.store.appends == 3
    assert process.view.numbers == [1]


async def test_outage_before_the_append_returns_not_run():
    log = MemoryLog()
    process = Process(log)
    log.faults.outage = True
    async with running(process.writer):
        outcome = await process.writer.append(Added(1), deadline_s=3)
        log.faults.outage = False
        await advance_time(30)
    assert (outcome.reason, outcome.run_state) == (Reason.LOG_UNAVAILABLE, RunState.NOT_RUN)
    assert log.store.appends == 0


async def test_outage_after_the_write_returns_unknown():
    log = MemoryLog()
    process = Process(log)
    log.faults.lost_acknowledgements = 1
    log.faults.delay_s = 0.5
    async with running(process.writer):
        appending = asyncio.create_task(process.writer.append(Added(1), deadline_s=3))
        await advance_time(0.6)
        log.faults.outage = True
        outcome = await appending
    assert (outcome.reason, outcome.run_state) == (Reason.LOG_ANSWER_LOST, RunState.UNKNOWN)


async def test_full_queue_of_statistics_rejects_records_but_not_acceptance():
    log = MemoryLog()
    process = Process(log)
    process.writer.queue.limit_records = 5
    log.faults.outage = True
    async with running(process.writer):
        statistics = [
            asyncio.create_task(process.writer.append(Added(i), Priority.STATISTICS))
            for i in range(12)
        ]
        await advance_time(0.01)
        accepted = asyncio.create_task(process.writer.append(Added(99)))
        await advance_time(0.01)
        log.faults.outage = False
        outcomes = await asyncio.gather(*statistics)
        assert isinstance(await accepted, Written)
    refused = [outcome for outcome in outcomes if not isinstance(outcome, Written)]
    assert {outcome.reason for outcome in refused} == {Reason.LOG_BACKLOG}
    assert len(refused) >= 2


async def test_batches_stay_within_the_rate_limit_and_acceptance_goes_first():
    log = MemoryLog()
    process = Process(log)
    async with running(process.writer, process.follower):
        statistics = [
            asyncio.create_task(process.writer.append(Added(i), Priority.STATISTICS, deadline_s=60))
            for i in range(900)
        ]
        accepted = asyncio.create_task(process.writer.append(Added(1000)))
        await asyncio.gather(accepted, *statistics)
        await advance_time()
    assert log.store.appends <= 900 / 100 + 1
    assert process.view.numbers[0] == 1000
    assert sorted(process.view.numbers) == [*range(900), 1000]


async def test_record_reported_as_not_run_is_removed_from_its_batch():
    log = MemoryLog()
    process = Process(log)
    log.faults.outage = True
    async with running(process.writer, process.follower):
        short = asyncio.create_task(process.writer.append(Added(1), deadline_s=2))
        long = asyncio.create_task(process.writer.append(Added(2), deadline_s=30))
        await advance_time(10)
        log.faults.outage = False
        assert isinstance(await long, Written)
        await advance_time()
    assert (await short).run_state is RunState.NOT_RUN
    assert process.view.numbers == [2]


async def test_deadline_holds_while_another_append_is_stuck():
    log = MemoryLog()
    process = Process(log)
    async with running(process.writer):
        await process.writer.append(Added(0))
        log.faults.delay_s = 100
        stuck = asyncio.create_task(
            process.writer.append(Added(1), Priority.STATISTICS, deadline_s=60)
        )
        await advance_time(1)
        behind = await process.writer.append(Added(2), deadline_s=2)
        assert asyncio.get_running_loop().time() <= 3.2
        assert behind.run_state is RunState.NOT_RUN
        assert (await stuck).run_state is RunState.UNKNOWN


async def test_acceptance_uses_the_share_reserved_from_statistics():
    log = MemoryLog()
    process = Process(log)
    loop = asyncio.get_running_loop()
    async with running(process.writer):
        for _ in range(8):
            await process.writer.rate_limiter.acquire(Priority.ACCEPTANCE)
        statistics = asyncio.create_task(process.writer.append(Added(1), Priority.STATISTICS))
        await advance_time(0.01)
        before_s = loop.time()
        await process.writer.append(Added(2))
        assert loop.time() - before_s < 0.1
        await statistics


async def test_rate_limit_holds_and_statistics_leave_the_reserved_share():
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
async def test_stopping_resolves_waiting_appends(fault, run_state):
    log = MemoryLog()
    process = Process(log)
    setattr(log.faults, fault, 100)
    async with running(process.writer):
        appending = asyncio.create_task(process.writer.append(Added(1), deadline_s=60))
        await advance_time(1)
    outcome = await appending
    assert (outcome.reason, outcome.run_state) == (Reason.SHUTTING_DOWN, run_state)

"""A view agrees with the log through copies, gaps, broken records and snapshots."""

from __future__ import annotations

import random

import pytest

from briardeal_core.log import FollowerState, PastRetention, SnapshotStream, encode_envelope
from briardeal_standins.log import MemoryLog
from tests.core.log.samples import (
    NEWER_SCHEMA,
    SCHEMA,
    Added,
    AddedV2,
    Process,
    Renamed,
    running,
    settle,
)

pytestmark = pytest.mark.looptime


async def put(log, record, append_id, schema=SCHEMA):
    await log.append("s", encode_envelope([schema.encode(record)]), append_id)


async def put_many(log, numbers):
    for number in numbers:
        await put(log, Added(number), f"id{number}")


async def test_duplicate_deliveries_and_double_writes_are_dropped():
    log = MemoryLog()
    log.faults.double_writes = 3
    log.faults.double_deliveries = 4
    process = Process(log)
    async with running(process.follower):
        await put_many(log, range(5))
        await settle()
    assert process.view.numbers == [0, 1, 2, 3, 4]
    assert process.follower.reader.counts.duplicates >= 3


async def test_copy_of_a_record_below_the_snapshot_is_dropped():
    log = MemoryLog()
    first = Process(log)
    async with running(first.follower):
        await put_many(log, range(3))
        await settle()
        await first.keeper.write_if_due()
    await put(log, Added(1), "id1")
    second = Process(log, "q")
    async with running(second.follower):
        await second.follower.wait_current()
    assert second.view.numbers == [0, 1, 2]
    assert second.follower.reader.counts.entries == 1


async def test_unknown_and_broken_records_are_counted_and_left_out():
    log = MemoryLog()
    await put_many(log, [1])
    await log.append("s", b"\xc1 not msgpack", "x")
    await put(log, Renamed("new"), "y", NEWER_SCHEMA)
    await put(log, AddedV2(2, "a newer field"), "z", NEWER_SCHEMA)
    process = Process(log)
    async with running(process.follower):
        await process.follower.wait_current()
    counts = process.follower.reader.counts
    assert (counts.broken, counts.unknown) == (1, 1)
    assert process.view.numbers == [1, 2]


async def test_older_program_writes_no_snapshot_over_records_it_left_out():
    log = MemoryLog()
    old, new = Process(log, "old"), Process(log, "new", schema=NEWER_SCHEMA)
    await put(log, Renamed("x"), "y", NEWER_SCHEMA)
    async with running(old.follower, new.follower):
        await settle()
        await old.keeper.write_if_due()
        assert old.keeper.written == 0
        await new.keeper.write_if_due()
        assert new.keeper.written == 1
    restarted = Process(log, "old", seed=2, interval_s=0)
    async with running(restarted.follower):
        await restarted.follower.wait_current()
        await restarted.keeper.write_if_due()
    assert restarted.keeper.written == 0


async def test_reader_behind_retention_mends_from_the_snapshot():
    log = MemoryLog()
    behind, ahead = Process(log, "behind"), Process(log, "ahead")
    await put_many(log, range(10))
    async with running(ahead.follower):
        await settle()
        await ahead.keeper.write_if_due()
    log.store.drop_before("s", 8)
    await put_many(log, [10])
    async with running(behind.follower):
        await behind.follower.wait_current()
    assert behind.view.numbers == list(range(11))


async def test_gap_without_snapshot_is_told_and_mended_once_there_is_one():
    log = MemoryLog()
    ahead, behind = Process(log, "ahead"), Process(log, "behind")
    await put_many(log, range(4))
    async with running(ahead.follower):
        await settle()
        log.store.drop_before("s", 3)
        async with running(behind.follower):
            await settle(20)
            assert behind.follower.progress is FollowerState.GAP
            assert behind.view.numbers == []
            await ahead.keeper.write_if_due()
            await settle(20)
            assert behind.follower.progress is FollowerState.CURRENT
    assert behind.view.numbers == [0, 1, 2, 3]


async def test_snapshot_older_than_the_gap_is_not_used():
    log = MemoryLog()
    ahead, behind = Process(log, "ahead"), Process(log, "behind")
    await put_many(log, range(2))
    async with running(ahead.follower):
        await settle()
        await ahead.keeper.write_if_due()
    await put_many(log, range(2, 6))
    log.store.drop_before("s", 4)
    async with running(behind.follower):
        await settle(20)
    assert behind.follower.progress is FollowerState.GAP
    assert (behind.view.numbers, behind.follower.offset) == ([0, 1], 2)


async def test_entry_missing_within_a_read_is_a_gap():
    log = MemoryLog()
    await put_many(log, range(5))
    del log.store.streams["s"].entries[2]
    reader = Process(log).follower.reader
    first = await reader.read()
    assert [item.record.number for item in first.records] == [0, 1]
    assert isinstance(await reader.read(), PastRetention)


@pytest.mark.parametrize("damage", ["torn", "flipped"])
async def test_damaged_snapshot_falls_back_to_the_one_before(damage, monkeypatch):
    monkeypatch.setattr("briardeal_core.log._snapshots.PART_LIMIT_BYTES", 40)
    log = MemoryLog()
    process = Process(log, limit_records=1)
    async with running(process.follower):
        await put_many(log, range(20))
        await settle()
        await process.keeper.write_if_due()
        whole = len(log.store.streams["s.snapshots"].entries)
        await put_many(log, [20])
        await settle()
        await process.keeper.write_if_due()
    entries = log.store.streams["s.snapshots"].entries
    assert len(entries) > whole > 1
    if damage == "torn":
        entries.pop()
    else:
        damaged = entries[whole].record.replace(b"id", b"ie", 1)
        entries[whole] = type(entries[whole])(whole, "x", damaged, entries[whole].appended_at_s)
    restarted = Process(log, "q")
    async with running(restarted.follower):
        await restarted.follower.wait_current()
    assert restarted.follower.reader.counts.entries == 1
    assert restarted.view.numbers == list(range(21))


async def test_one_of_many_processes_writes_each_snapshot():
    log = MemoryLog()
    processes = [Process(log, f"p{index}", interval_s=400) for index in range(4)]
    services = [part for process in processes for part in (process.follower, process.keeper)]
    await put_many(log, range(5))
    async with running(*services):
        await settle(2000)
    written = sum(process.keeper.written for process in processes)
    assert 4 <= written <= 6
    assert len(log.store.streams["s.snapshots"].entries) == written


async def test_paused_writer_does_not_replace_its_successors_snapshot():
    log = MemoryLog()
    process = Process(log)
    await put_many(log, range(6))
    async with running(process.follower):
        await settle()
        stale = process.follower.take_snapshot()
        await put_many(log, [6])
        await settle()
        fresh = process.follower.take_snapshot()
    snapshots = SnapshotStream(log, "s.snapshots", process.writer.budget, random.Random(1))
    await snapshots.write(fresh, token=9)
    await snapshots.write(stale, token=4)
    restarted = Process(log, "q")
    async with running(restarted.follower):
        await restarted.follower.wait_current()
    assert restarted.follower.reader.counts.entries == 0
    assert restarted.view.numbers == list(range(7))


async def test_outage_is_survived_and_the_age_told():
    log = MemoryLog()
    process = Process(log)
    async with running(process.follower):
        await put_many(log, [1])
        await settle(6)
        log.faults.outage = True
        await settle(3600)
        assert process.follower.age_s() >= 3595
        log.faults.outage = False
        await put_many(log, [2])
        await settle(6)
        assert process.follower.age_s() <= 6
    assert process.view.numbers == [1, 2]

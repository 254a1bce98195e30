"""Views agree with the log despite duplicates, gaps, broken records and damaged snapshots."""

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
    advance_time,
    running,
)

pytestmark = pytest.mark.looptime


async def append_record(log, record, append_id, schema=SCHEMA):
    await log.append("s", encode_envelope([schema.encode(record)]), append_id)


async def append_numbers(log, numbers):
    for number in numbers:
        await append_record(log, Added(number), f"id{number}")


async def test_duplicate_deliveries_and_double_writes_are_dropped():
    log = MemoryLog()
    log.faults.double_writes = 3
    log.faults.double_deliveries = 4
    process = Process(log)
    async with running(process.follower):
        await append_numbers(log, range(5))
        await advance_time()
    assert process.view.numbers == [0, 1, 2, 3, 4]
    assert process.follower.reader.counts.duplicates >= 3


async def test_duplicate_of_a_record_in_the_snapshot_is_dropped():
    log = MemoryLog()
    first = Process(log)
    async with running(first.follower):
        await append_numbers(log, range(3))
        await advance_time()
        await first.snapshot_writer.write_if_due()
    await append_record(log, Added(1), "id1")
    second = Process(log, "q")
    async with running(second.follower):
        await second.follower.wait_current()
    assert second.view.numbers == [0, 1, 2]
    assert second.follower.reader.counts.entries == 1


async def test_unknown_and_broken_records_are_counted_and_skipped():
    log = MemoryLog()
    await append_numbers(log, [1])
    await log.append("s", b"\xc1 not msgpack", "x")
    await append_record(log, Renamed("new"), "y", NEWER_SCHEMA)
    await append_record(log, AddedV2(2, "a newer field"), "z", NEWER_SCHEMA)
    process = Process(log)
    async with running(process.follower):
        await process.follower.wait_current()
    counts = process.follower.reader.counts
    assert (counts.broken, counts.unknown) == (1, 1)
    assert process.view.numbers == [1, 2]


async def test_older_program_writes_no_snapshot_after_skipping_records():
    log = MemoryLog()
    old, new = Process(log, "old"), Process(log, "new", schema=NEWER_SCHEMA)
    await append_record(log, Renamed("x"), "y", NEWER_SCHEMA)
    async with running(old.follower, new.follower):
        await advance_time()
        await old.snapshot_writer.write_if_due()
        assert old.snapshot_writer.written == 0
        await new.snapshot_writer.write_if_due()
        assert new.snapshot_writer.written == 1
    restarted = Process(log, "old", seed=2, interval_s=0)
    async with running(restarted.follower):
        await restarted.follower.wait_current()
        await restarted.snapshot_writer.write_if_due()
    assert restarted.snapshot_writer.written == 0


async def test_follower_behind_retention_restores_the_snapshot():
    log = MemoryLog()
    behind, ahead = Process(log, "behind"), Process(log, "ahead")
    await append_numbers(log, range(10))
    async with running(ahead.follower):
        await advance_time()
        await ahead.snapshot_writer.write_if_due()
    log.store.drop_before("s", 8)
    await append_numbers(log, [10])
    async with running(behind.follower):
        await behind.follower.wait_current()
    assert behind.view.numbers == list(range(11))


async def test_gap_is_reported_until_a_snapshot_covers_it():
    log = MemoryLog()
    ahead, behind = Process(log, "ahead"), Process(log, "behind")
    await append_numbers(log, range(4))
    async with running(ahead.follower):
        await advance_time()
        log.store.drop_before("s", 3)
        async with running(behind.follower):
            await advance_time(20)
            assert behind.follower.progress is FollowerState.GAP
            assert behind.view.numbers == []
            await ahead.snapshot_writer.write_if_due()
            await advance_time(20)
            assert behind.follower.progress is FollowerState.CURRENT
    assert behind.view.numbers == [0, 1, 2, 3]


async def test_snapshot_older_than_the_gap_is_not_used():
    log = MemoryLog()
    ahead, behind = Process(log, "ahead"), Process(log, "behind")
    await append_numbers(log, range(2))
    async with running(ahead.follower):
        await advance_time()
        await ahead.snapshot_writer.write_if_due()
    await append_numbers(log, range(2, 6))
    log.store.drop_before("s", 4)
    async with running(behind.follower):
        await advance_time(20)
    assert behind.follower.progress is FollowerState.GAP
    assert (behind.view.numbers, behind.follower.offset) == ([0, 1], 2)


async def test_missing_entry_within_a_read_is_a_gap():
    log = MemoryLog()
    await append_numbers(log, range(5))
    del log.store.streams["s"].entries[2]
    reader = Process(log).follower.reader
    first = await reader.read()
    assert [item.record.number for item in first.records] == [0, 1]
    assert isinstance(await reader.read(), PastRetention)


@pytest.mark.parametrize("damage", ["incomplete", "corrupted"])
async def test_damaged_snapshot_falls_back_to_the_previous_one(damage, monkeypatch):
    monkeypatch.setattr("briardeal_core.log._snapshots.PART_LIMIT_BYTES", 40)
    log = MemoryLog()
    process = Process(log, limit_records=1)
    async with running(process.follower):
        await append_numbers(log, range(20))
        await advance_time()
        await process.snapshot_writer.write_if_due()
        first_parts = len(log.store.streams["s.snapshots"].entries)
        await append_numbers(log, [20])
        await advance_time()
        await process.snapshot_writer.write_if_due()
    entries = log.store.streams["s.snapshots"].entries
    assert len(entries) > first_parts > 1
    if damage == "incomplete":
        entries.pop()
    else:
        damaged = entries[first_parts].record.replace(b"id", b"ie", 1)
        entries[first_parts] = type(entries[first_parts])(
            first_parts, "x", damaged, entries[first_parts].appended_at_s
        )
    restarted = Process(log, "q")
    async with running(restarted.follower):
        await restarted.follower.wait_current()
    assert restarted.follower.reader.counts.entries == 1
    assert restarted.view.numbers == list(range(21))


async def test_each_snapshot_is_written_by_only_one_process():
    log = MemoryLog()
    processes = [Process(log, f"p{index}", interval_s=400) for index in range(4)]
    services = [
        part for process in processes for part in (process.follower, process.snapshot_writer)
    ]
    await append_numbers(log, range(5))
    async with running(*services):
        await advance_time(2000)
    written = sum(process.snapshot_writer.written for process in processes)
    assert 4 <= written <= 6
    assert len(log.store.streams["s.snapshots"].entries) == written


async def test_late_snapshot_of_a_paused_writer_does_not_replace_a_newer_one():
    log = MemoryLog()
    process = Process(log)
    await append_numbers(log, range(6))
    async with running(process.follower):
        await advance_time()
        stale = process.follower.take_snapshot()
        await append_numbers(log, [6])
        await advance_time()
        fresh = process.follower.take_snapshot()
    snapshots = SnapshotStream(log, "s.snapshots", process.writer.rate_limiter, random.Random(1))
    await snapshots.write(fresh, token=9)
    await snapshots.write(stale, token=4)
    restarted = Process(log, "q")
    async with running(restarted.follower):
        await restarted.follower.wait_current()
    assert restarted.follower.reader.counts.entries == 0
    assert restarted.view.numbers == list(range(7))


async def test_follower_reports_the_age_of_its_view_during_an_outage_and_recovers():
    log = MemoryLog()
    process = Process(log)
    async with running(process.follower):
        await append_numbers(log, [1])
        await advance_time(6)
        log.faults.outage = True
        await advance_time(3600)
        assert process.follower.age_s() >= 3595
        log.faults.outage = False
        await append_numbers(log, [2])
        await advance_time(6)
        assert process.follower.age_s() <= 6
    assert process.view.numbers == [1, 2]

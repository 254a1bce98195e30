"""Harness of `bench.log`: entries, a counting log, records of the target size, virtual time."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, TypeVar

import attrs
import looptime
import msgspec

from briardeal_core.clock import WallClock
from briardeal_core.configuration import Configuration, Customer, Guarantee, JobClass
from briardeal_core.configuration.store import ConfigurationStore
from briardeal_core.log import (
    AppendRateLimiter,
    RecordKind,
    RoleClaim,
    Schema,
    SnapshotStream,
    SnapshotWriter,
    StreamFollower,
    StreamReader,
    StreamWriter,
    encode_envelope,
)
from briardeal_standins.log import LogStore, MemoryLog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from briardeal_core.log import Appended, Log, StreamRecord

CUSTOMERS = 130
ENTRIES = 4
DAY_S = 86_400.0
EPOCH_S = 1e9
NOOP_CYCLES = 0
"""Idle cycles of the loop before its clock advances; more cost time without changing results."""

T = TypeVar("T")


class JobChanged(msgspec.Struct, frozen=True):
    """Record of a job, of about the size of the records that real jobs append to the log."""

    job_id: str
    customer: str
    state: str
    detail: str


JOB_SCHEMA = Schema([RecordKind("job_changed", JobChanged)])


class JobTable:
    """Latest record of each job."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobChanged] = {}

    def apply(self, item: StreamRecord) -> None:
        """Apply one record."""
        self.jobs[item.record.job_id] = item.record

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        return msgspec.msgpack.encode(self.jobs)

    def restore(self, state: bytes) -> bool:
        """Replace the state with that of a snapshot."""
        self.jobs = msgspec.msgpack.decode(state, type=dict[str, JobChanged])
        return True


class CountingStore(LogStore):
    """A log that records the time of each append."""

    def __init__(self) -> None:
        super().__init__(retention_s=DAY_S, clock=WallClock(epoch_s=EPOCH_S))
        self.times_s: list[float] = []

    def append(self, stream: str, record: bytes, append_id: str) -> Appended:
        """Append one record."""
        self.times_s.append(self.clock.now_s())
        return super().append(stream, record, append_id)

    def max_appends_per_s(self) -> int:
        """Return the largest number of appends within any second."""
        highest = start = 0
        for end, time_s in enumerate(self.times_s):
            while self.times_s[start] <= time_s - 1:
                start += 1
            highest = max(highest, end - start + 1)
        return highest


@attrs.define
class Entry:
    """The parts of an entry that use the log."""

    log: MemoryLog
    store: ConfigurationStore
    writer: StreamWriter
    follower: StreamFollower
    keeper: SnapshotWriter


def create_entry(log: MemoryLog, name: str) -> Entry:
    """Return the parts of one entry, not yet started."""
    rng = random.Random(name)
    budget = AppendRateLimiter()
    store = ConfigurationStore(log, name, budget, rng, clock=log.store.clock)
    snapshots = SnapshotStream(log, "jobs.snapshots", budget, rng)
    follower = StreamFollower(StreamReader(log, "jobs", JOB_SCHEMA), snapshots, JobTable(), rng)
    claim = RoleClaim(log, "jobs.claims", "snapshots", name, budget, rng)
    keeper = SnapshotWriter(follower, claim, rng, clock=log.store.clock)
    return Entry(log, store, StreamWriter(log, "jobs", JOB_SCHEMA, budget, rng), follower, keeper)


@asynccontextmanager
async def run_entries(store: LogStore) -> AsyncIterator[list[Entry]]:
    """Run all entries on one log."""
    entries = [create_entry(MemoryLog(store), f"entry{index}") for index in range(ENTRIES)]
    async with AsyncExitStack() as stack:
        for entry in entries:
            for part in (entry.store, entry.writer, entry.follower, entry.keeper):
                await part.start()
                stack.push_async_callback(part.stop)
        await asyncio.sleep(1)
        yield entries


def create_configuration(number: int) -> Configuration:
    """Return a configuration of the target size that differs from those of other numbers."""
    guarantee = Guarantee(job_class="class0", vms=1, accelerators_per_vm=8)
    return Configuration(
        classes=tuple(JobClass(name=f"class{i}", finish_within_s=number + 1) for i in range(10)),
        customers=tuple(
            Customer(name=f"customer{i}", guarantees=(guarantee,), quota_accelerators=64)
            for i in range(CUSTOMERS)
        ),
        failure_margin_vms=7,
    )


async def append_jobs(log: Log, start: int, end: int) -> None:
    """Append one record per log entry, numbered from `start` up to but excluding `end`."""
    for number in range(start, end):
        record = JobChanged(f"job-{number}", "customer", "running", "x" * 60)
        await log.append("jobs", encode_envelope([JOB_SCHEMA.encode(record)]), str(number))


def run_virtual(measurement: Callable[[], Awaitable[T]]) -> T:
    """Run a measurement on virtual time."""
    loop = looptime.new_event_loop(noop_cycles=NOOP_CYCLES)
    try:
        return loop.run_until_complete(measurement())
    finally:
        loop.close()

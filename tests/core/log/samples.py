"""Record types, a view and the log services of a process, shared by the tests of the log."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import msgspec

from briardeal_core.log import (
    AppendRateLimiter,
    RecordKind,
    RoleClaim,
    Schema,
    SnapshotStream,
    SnapshotWriter,
    StreamFollower,
    StreamReader,
    StreamRecord,
    StreamWriter,
)


class Added(msgspec.Struct, frozen=True):
    number: int


class AddedV2(msgspec.Struct, frozen=True):
    number: int
    note: str = ""


class Renamed(msgspec.Struct, frozen=True):
    name: str


SCHEMA = Schema([RecordKind("added", Added)])
NEWER_SCHEMA = Schema([RecordKind("added", AddedV2), RecordKind("renamed", Renamed)], version=2)


class Numbers:
    """The numbers added so far, in order."""

    def __init__(self):
        self.numbers: list[int] = []

    def apply(self, item: StreamRecord) -> None:
        if isinstance(item.record, Added | AddedV2):
            self.numbers.append(item.record.number)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(self.numbers)

    def restore(self, state: bytes) -> bool:
        try:
            self.numbers = msgspec.msgpack.decode(state, type=list[int])
        except msgspec.MsgspecError:
            return False
        return True


class Process:
    """The log services of one process, which writes and follows the stream `s`."""

    def __init__(self, log, name="p", seed=1, schema=SCHEMA, **snapshot_writer_options):
        rng = random.Random(f"{name}{seed}")
        self.view = Numbers()
        self.writer = StreamWriter(log, "s", schema, AppendRateLimiter(), rng)
        self.snapshots = SnapshotStream(log, "s.snapshots", AppendRateLimiter(), rng)
        reader = StreamReader(log, "s", schema)
        self.follower = StreamFollower(reader, self.snapshots, self.view, rng)
        claim = RoleClaim(log, "s.claims", "snapshots", name, AppendRateLimiter(), rng)
        self.snapshot_writer = SnapshotWriter(
            self.follower, claim, rng, clock=log.store.clock, **snapshot_writer_options
        )


@asynccontextmanager
async def running(*services):
    """Start services and stop them on exit."""
    for service in services:
        await service.start()
    try:
        yield
    finally:
        for service in services:
            await service.stop()


async def advance_time(seconds=1.0):
    """Let virtual time pass, in seconds."""
    await asyncio.sleep(seconds)

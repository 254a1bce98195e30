"""The stand-in log behaves alike in memory and over HTTP, also under faults."""

from __future__ import annotations

from contextlib import AsyncExitStack

import msgspec
import pytest
from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from briardeal_core.log import Appended, EntryBatch, LogUnavailable, PastRetention
from briardeal_core.log.client import HttpLog
from briardeal_standins.log import Faults, MemoryLog, create_application


@pytest.fixture(params=["memory", "http"])
async def logs(request):
    memory = MemoryLog()
    async with AsyncExitStack() as stack:
        if request.param == "memory":
            yield memory, memory
            return
        server = await stack.enter_async_context(TestServer(create_application(memory)))
        client = HttpLog(f"http://127.0.0.1:{server.port}")
        stack.push_async_callback(client.close)
        yield memory, client


async def test_entries_are_read_in_order(logs):
    _, log = logs
    assert (await log.append("s", b"a", "1")).offset == 0
    assert (await log.append("s", b"b", "2")).offset == 1
    found = await log.read("s", 0, 10)
    assert [entry.record for entry in found.entries] == [b"a", b"b"]
    assert (found.next_offset, found.end_offset) == (2, 2)


async def test_lost_acknowledgement_is_reported_as_maybe_written(logs):
    memory, log = logs
    memory.faults.lost_acknowledgements = 1
    outcome = await log.append("s", b"a", "1")
    assert isinstance(outcome, LogUnavailable)
    assert outcome.maybe_written
    assert [entry.append_id for entry in (await log.read("s", 0, 10)).entries] == ["1"]


async def test_outage_and_passed_retention_are_reported(logs):
    memory, log = logs
    await log.append("s", b"a", "1")
    memory.faults.outage = True
    failed_append = await log.append("s", b"b", "2")
    assert isinstance(failed_append, LogUnavailable)
    assert not failed_append.maybe_written
    assert isinstance(await log.read("s", 0, 10), LogUnavailable)
    memory.faults.outage = False
    memory.store.drop_before("s", 1)
    assert await log.read("s", 0, 10) == PastRetention(1, 1)


async def test_append_to_unreachable_log_is_reported_as_not_written():
    log = HttpLog("http://127.0.0.1:1")
    assert (await log.append("s", b"a", "1")).maybe_written is False
    await log.close()


async def test_faults_are_set_over_http():
    memory = MemoryLog()
    async with TestServer(create_application(memory)) as server, ClientSession() as session:
        body = msgspec.json.encode(Faults(double_deliveries=1))
        assert (await session.put(server.make_url("/faults"), data=body)).status == 204
    await memory.append("s", b"a", "1")
    assert len((await memory.read("s", 0, 10)).entries) == 2


@pytest.mark.looptime
async def test_late_write_and_double_write_take_effect():
    log = MemoryLog()
    log.faults.late_writes = 1
    log.faults.late_write_s = 5
    assert (await log.append("s", b"a", "1")).maybe_written
    assert isinstance(await log.read("s", 0, 10, wait_s=4), EntryBatch)
    assert len((await log.read("s", 0, 10, wait_s=4)).entries) == 1
    log.faults.double_writes = 1
    assert isinstance(await log.append("s", b"a", "1"), Appended)
    assert len((await log.read("s", 0, 10)).entries) == 3

"""Refusals at a high rate while the reader of the log output is blocked."""

from __future__ import annotations

import asyncio
import os
import statistics
import tracemalloc

import pytest

from briardeal_core.clock import loop_time
from briardeal_core.events import LogOutput, add_log_destination, remove_log_destination
from briardeal_core.events._output import BUFFER_LIMIT_BYTES
from briardeal_standins.emulator import StoreFault, TaskBehavior
from tests.workflow.samples import make_job
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

REFUSAL_COUNT = 1000
REFUSAL_LIMIT_S = 0.1
"""Limit of the 99th percentile of the time to refuse a job: a quarter of the shortest target in the
example configuration."""

MEMORY_LIMIT_BYTES = 8 * 1024 * 1024
"""Limit of additional memory: a quarter of the memory allowed to a control process."""


async def test_refusals_stay_fast_and_memory_bounded_while_log_output_is_blocked():
    reader, writer = os.pipe()
    output = LogOutput(writer, loop_time)
    async with run_site() as site:
        site.store.faults[""] = StoreFault.REFUSES
        await asyncio.sleep(1.0)
        tracemalloc.start()
        add_log_destination(output)
        waits_s = []
        for _ in range(REFUSAL_COUNT):
            started_s = loop_time()
            assert await site.submit(make_job(), TaskBehavior(1.0), "entry-0") is False
            waits_s.append(loop_time() - started_s)
            await asyncio.sleep(0.002)
        remove_log_destination(output)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        site.store.faults.clear()
        await asyncio.sleep(2.0)
    assert statistics.quantiles(waits_s, n=100)[98] < REFUSAL_LIMIT_S
    assert output._buffer_bytes <= BUFFER_LIMIT_BYTES
    assert used_bytes < MEMORY_LIMIT_BYTES
    os.close(reader)
    os.close(writer)

"""A flood of refusals while nobody reads the log."""

from __future__ import annotations

import asyncio
import os
import statistics
import tracemalloc

import pytest

from briardeal_core.clock import loop_time
from briardeal_core.events import LogOutput, end_log_to, log_to
from briardeal_core.events._output import WAITING_LIMIT_BYTES
from briardeal_standins.emulator import Plan, StoreFault
from tests.workflow.samples import make_job
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

REFUSALS = 1000
ANSWER_S = 0.1
"""Longest time to refuse a job; a quarter of the shortest target of the example configuration."""

MEMORY_BYTES = 8 * 1024 * 1024
"""A quarter of what a control process may take."""


async def test_a_flood_of_refusals_stays_quick_and_small_while_nobody_reads_the_log():
    reader, writer = os.pipe()
    output = LogOutput(writer, loop_time)
    async with run_site() as site:
        site.store.faults[""] = StoreFault.REFUSES
        await asyncio.sleep(1.0)
        tracemalloc.start()
        log_to(output)
        waits_s = []
        for _ in range(REFUSALS):
            began_s = loop_time()
            assert await site.submit(make_job(), Plan(1.0), "entry-0") is False
            waits_s.append(loop_time() - began_s)
            await asyncio.sleep(0.002)
        end_log_to(output)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        site.store.faults.clear()
        await asyncio.sleep(2.0)
    assert statistics.quantiles(waits_s, n=100)[98] < ANSWER_S
    assert output._waiting_bytes <= WAITING_LIMIT_BYTES
    assert held < MEMORY_BYTES
    os.close(reader)
    os.close(writer)

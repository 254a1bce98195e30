"""Log lines and metrics tell that an entry owns the jobs without planning them, and why."""

from __future__ import annotations

import asyncio

import pytest

from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime


async def test_owner_that_has_read_no_jobs_is_logged_with_what_it_waits_for():
    async with run_site(entries=1) as site:
        (name,) = site.entry_names
        site.store.late_pages.add("jobs")
        await site.kill(name)
        site.start_process(name)
        entry = site.entry(name)
        # A claim whose append was not answered may win after the entry has begun to read anew.
        entry.election.can_plan = lambda: True
        await asyncio.sleep(2.0)
        (line,) = lines_of(site, "planning_stalled")
        assert '"waits_for":"jobs"' in line
        assert '"topic":"jobs","pages":0' in lines_of(site, "load_interrupted")[0]
        assert entry.metrics.planning_age_s.get({}) > 1.0
        site.store.late_pages.clear()
        await asyncio.sleep(2.0)
        assert len(lines_of(site, "planning_resumed")) == 1
        assert entry.metrics.planning_age_s.get({}) < 0.5
        assert entry.metrics.jobs_age_s.get({}) < 2.0


async def test_healthy_owner_is_not_logged_as_stalled():
    async with run_site() as site:
        await asyncio.sleep(10.0)
        assert not lines_of(site, "planning_stalled")


def lines_of(site, event):
    return [line for line in site.logs.lines if f'"message_type":"{event}"' in line]

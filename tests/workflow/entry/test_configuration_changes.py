"""No process goes back to an older configuration."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal_standins.emulator import CONFIGURATION, TaskBehavior
from tests.workflow.samples import make_job, small_step
from tests.workflow.sites import restart_processes, run_site

pytestmark = pytest.mark.looptime


def limit_failures(version, failure_limit):
    """Return a version of the configuration with a failure limit for all queues."""
    queues = tuple(
        attrs.evolve(queue, failure_limit=failure_limit) for queue in CONFIGURATION.queues
    )
    return attrs.evolve(CONFIGURATION, version=version, queues=queues)


async def wait_for_loading_owner(site):
    """Wait until an entry has begun to take over, and return its name."""
    while True:
        for name in site.entry_names:
            if name in site.processes:
                owner = site.entry(name).owner
                if owner is not None and not owner.loaded:
                    return name
        await asyncio.sleep(0.001)


async def check_failure_limit(site, failure_limit):
    """Check that a task that fails each time is started as often as allowed."""
    job = make_job(small_step(estimate_s=1.0))
    started = site.checker.start_count
    assert await site.submit(job, TaskBehavior(1.0, failures=10))
    await site.wait_for_state(job.job_id, "failed", 20.0)
    assert site.checker.start_count - started == failure_limit


@pytest.mark.parametrize("changes", [1, 2])
async def test_configurations_that_change_during_a_takeover_stay_in_force(changes):
    # Guards against a new owner that goes back to the configuration with which it began to load.
    async with run_site() as site, asyncio.timeout(60.0):
        site.checker.failure_limits = dict.fromkeys(site.checker.failure_limits, 1)
        owner = await site.wait_for_owner()
        restart = asyncio.create_task(restart_processes(site, [owner], 2.0))
        await wait_for_loading_owner(site)
        for number in range(changes):
            site.configure(limit_failures(2 + number, changes - number))
            await asyncio.sleep(0.001)
        await restart
        name = await site.wait_for_owner()
        assert site.entry(name).owner.planner.state.configuration.version == 1 + changes
        await check_failure_limit(site, 1)


async def test_owner_that_begins_anew_has_the_configuration_in_force():
    # Guards against the configuration of a takeover that was given up.
    async with run_site() as site, asyncio.timeout(60.0):
        site.checker.failure_limits = dict.fromkeys(site.checker.failure_limits, 1)
        restart = asyncio.create_task(
            restart_processes(site, [await site.wait_for_owner()], down_s=2.0)
        )
        name = await wait_for_loading_owner(site)
        given_up = site.entry(name).owner
        site.isolate([name])
        site.configure(limit_failures(2, 2))
        await restart
        while (other := site.owner_name()) in (None, name):
            await asyncio.sleep(0.02)
        site.configure(limit_failures(3, 1))
        site.reconnect_all()
        await asyncio.sleep(3.0)
        for each in site.entry_names:
            site.entry(each).election.leaving = each != name
        await site.kill(other)
        while site.owner_name() != name:
            await asyncio.sleep(0.02)
        site.start_process(other)
        assert site.entry(name).owner is not given_up
        await check_failure_limit(site, 1)


async def test_older_version_is_refused_with_both_versions_in_the_log():
    # Guards against an older copy of the configuration that is applied over a newer one.
    async with run_site() as site:
        entry = site.entry(await site.wait_for_owner())
        newest = limit_failures(7, 1)
        site.configure(newest)
        with site.logs.attribute_to(entry.election.entry_id):
            entry.configure(limit_failures(5, 3))
            entry.owner.configure(limit_failures(4, 3))
        assert entry.configuration is newest
        assert entry.owner.planner.state.configuration is newest
        lines = [line for line in site.logs.lines if "configuration_outdated" in line]
        assert len(lines) == 2
        assert '"version":5,"in_force":7' in lines[0]
        assert '"version":4,"in_force":7' in lines[1]

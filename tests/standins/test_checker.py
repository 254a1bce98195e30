"""The checker of invariants finds violations, and allows what the rules allow."""

from __future__ import annotations

import asyncio

import pytest

from tests.standins.test_progress_check import Deployment
from tests.workflow.samples import make_job, small_step

pytestmark = pytest.mark.looptime


def found(site: Deployment) -> list[str]:
    return [each.invariant.name for each in site.checker.violations]


async def test_next_step_may_start_while_another_copy_of_a_done_task_stops():
    # The first copy was cut off, and its end arrives after the second copy has started.
    site = Deployment()
    job = site.accept(make_job(small_step(), small_step(after=(0,))))
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0], acknowledged=False)
    await site.start(site.vms[1], job)
    await site.start(site.vms[0], job, step=1)
    assert found(site) == []


async def test_step_that_starts_before_an_earlier_one_is_done_is_found():
    site = Deployment()
    job = site.accept(make_job(small_step(2), small_step(after=(0,))))
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0])
    await site.start(site.vms[1], job, step=1)
    assert found(site) == ["STEP_ORDER"]


async def test_end_of_one_member_stands_for_its_gang():
    site = Deployment()
    job = site.accept(make_job(small_step(2, gang=True), small_step(after=(0,))))
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0])
    await site.start(site.vms[1], job, step=1)
    assert found(site) == []


@pytest.mark.parametrize(("lapsed", "expected"), [(False, ["SINGLE_RUN"]), (True, [])])
async def test_start_after_an_end_that_is_stored_later_is_found(lapsed, expected):
    site = Deployment()
    job = site.accept(make_job(small_step()))
    await site.start(site.vms[0], job)
    await site.finish(site.vms[0], acknowledged=False)
    await asyncio.sleep(0.1)
    await site.start(site.vms[1], job)
    await site.finish(site.vms[1], acknowledged=False)
    ended = site.vms[0].ended
    position = ended[-1].position
    site.checker.record_stored_ends("vm-0", ended, position, position if lapsed else 0)
    assert found(site) == expected


@pytest.mark.parametrize("stored_first", [False, True])
async def test_start_after_as_many_stored_failures_as_the_queue_allows_is_found(stored_first):
    site = Deployment()
    job = site.accept(make_job(small_step()))
    site.checker.failure_limits[job.queue] = 1
    first, second = site.vms[:2]
    await site.start(first, job)
    first._finish(next(iter(first.attempts.values())), "failed")
    if stored_first:
        site.checker.record_stored_ends(first.vm_id, first.ended, first.ended[-1].position)
    await asyncio.sleep(0.1)
    await site.start(second, job)
    if not stored_first:
        assert found(site) == []
        site.checker.record_stored_ends(first.vm_id, first.ended, first.ended[-1].position)
    assert found(site) == ["FAILURE_LIMIT"]

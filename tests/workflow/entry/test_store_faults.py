"""Jobs keep running while the store fails for some or all entries."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_standins.emulator import StoreFault, TaskBehavior
from briardeal_workflow.owner import _progress_writer
from briardeal_workflow.store import Record
from tests.workflow.samples import make_job, whole_vm_step
from tests.workflow.sites import run_site

pytestmark = pytest.mark.looptime

NESTED = b"\x81\xa1x" + b"\x91" * 5000 + b"\x01"
"""A map with an unknown field of 5,000 nested arrays."""


@pytest.mark.parametrize("fault", [StoreFault.REFUSES, StoreFault.SILENT])
async def test_accepted_jobs_keep_running_in_a_store_outage_and_start_as_soon_as_it_ends(fault):
    async with run_site() as site:
        first = make_job(whole_vm_step(6))
        second = make_job(whole_vm_step(6))
        await site.submit(first, TaskBehavior(2.0))
        await site.submit(second, TaskBehavior(2.0))
        await asyncio.sleep(1.0)
        site.store.faults[""] = fault
        refused = make_job()
        assert not await site.submit(refused, TaskBehavior(1.0))
        await asyncio.sleep(4.0)
        # A start that the store does not list could run again under the next owner.
        assert site.checker.start_count == 6
        assert site.checker.end_counts == {"done": 6}
        site.store.faults.clear()
        await site.wait_for_state(second.job_id, "running", 1.0)
        assert site.checker.start_count == 12
        await site.wait_for_state(second.job_id, "completed", 10.0)


@pytest.mark.parametrize("fault", [StoreFault.LOSES_ANSWERS, StoreFault.WRITES_LATE])
async def test_job_with_unanswered_append_is_not_reported_as_refused(fault):
    async with run_site() as site:
        site.store.faults[""] = fault
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0), "entry-0") is not False
        site.store.faults.clear()
        assert await site.submit(job, TaskBehavior(1.0), "entry-0")
        await site.wait_for_state(job.job_id, "completed", 10.0)
        assert site.checker.start_count == 1


@pytest.mark.parametrize("fault", [StoreFault.REFUSES, StoreFault.SILENT])
async def test_jobs_complete_while_store_rejects_calls_of_owner(fault):
    async with run_site() as site:
        owner = await site.wait_for_owner()
        site.store.faults[owner] = fault
        others = [name for name in site.entry_names if name != owner]
        for number in range(8):
            job = make_job()
            assert await site.submit(job, TaskBehavior(1.0), others[number % 2])
            await site.wait_for_state(job.job_id, "completed", 4.5)


async def test_entries_recover_after_store_has_deleted_old_records():
    async with run_site() as site:
        running = make_job()
        await site.submit(running, TaskBehavior(20.0))
        await asyncio.sleep(1.0)
        site.store.trim_all()
        job = make_job()
        await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 6.0)
        await site.wait_for_state(running.job_id, "running", 1.0)


@pytest.mark.parametrize("fault", [StoreFault.REFUSES, StoreFault.SILENT])
async def test_entry_without_store_access_uses_another_entry(fault):
    async with run_site() as site:
        owner = await site.wait_for_owner()
        affected = next(name for name in site.entry_names if name != owner)
        site.store.faults[affected] = fault
        await asyncio.sleep(2.5)
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0), affected)
        await site.wait_for_state(job.job_id, "completed", 5.0)
        assert site.entry(affected).job_follower.age_s < 2.0
        assert site.owner_name() == owner


async def test_entries_are_up_to_date_soon_after_store_recovers():
    async with run_site() as site:
        site.store.faults[""] = StoreFault.SILENT
        await asyncio.sleep(6.0)
        site.store.faults.clear()
        await asyncio.sleep(1.5)
        assert all(site.entry(name).gateway.up_to_date for name in site.entry_names)


async def test_finished_job_is_removed_from_store_after_retention(monkeypatch):
    monkeypatch.setattr(_progress_writer, "RETENTION_S", 20.0)
    monkeypatch.setattr(_progress_writer, "EXPIRY_INTERVAL_S", 5.0)
    async with run_site() as site:
        job = make_job()
        await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 5.0)
        await asyncio.sleep(15.0)
        assert site.state(job.job_id, "entry-0") == "completed"
        site.checker.accepted.clear()
        await asyncio.sleep(15.0)
        assert not site.store.get_topic("jobs").newest
        assert all(not site.entry(name).job_table.jobs for name in site.entry_names)


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"{}", b"\x93\x01\x02\x03", NESTED])
async def test_unreadable_records_are_ignored(value):
    async with run_site() as site:
        for topic, keys in {
            "control": ("owner", "entry/x", "other"),
            "jobs": ("job/1", "progress/1", "x"),
        }.items():
            records = [Record(key, value) for key in keys]
            site.store.write(topic, records, None, None)
        await asyncio.sleep(0.5)
        job = make_job()
        assert await site.submit(job, TaskBehavior(1.0))
        await site.wait_for_state(job.job_id, "completed", 5.0)

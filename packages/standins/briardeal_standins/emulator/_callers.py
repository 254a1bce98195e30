"""Callers of an emulated deployment: they submit a mixed load of jobs and cancel some."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_standins.emulator._worker import TaskBehavior
from briardeal_workflow.model import Job, Step

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_standins.emulator._emulator import Emulator

SUBMIT_INTERVAL_S = 0.8
"""Average seconds between two jobs of the load."""

RETRY_PAUSE_S = 0.3
"""Seconds after which a caller repeats a call that was refused or not answered."""

CRASH_DELAYS_S = (0.01, 0.01, 0.01, 0.3, 2.0)
"""Seconds after its start at which a task crashes its worker; most do so at once."""

CRASHING_JOB_INTERVAL_S = 6.0
"""Average seconds between two jobs with a task that crashes its workers."""

CANCELLED_SHARE = 0.1
"""Share of the jobs that their callers cancel."""

CANCEL_DELAYS_S = (0.1, 4.0)
"""Range of the seconds after which a caller cancels its job."""


@attrs.define(eq=False)
class Callers:
    """Callers who submit and cancel jobs.

    Attributes
    ----------
    entries
        Names of the entries that they call.
    pending
        Jobs that have been accepted and not cancelled, by job ID.
    """

    entries: Sequence[str]
    pending: dict[str, Job] = attrs.field(factory=dict)


async def submit_jobs(site: Emulator, callers: Callers, duration_s: float) -> None:
    """Submit jobs at random times for some seconds."""
    end_s = loop_time() + duration_s
    async with asyncio.TaskGroup() as tasks:
        while loop_time() < end_s:
            await asyncio.sleep(site.rng.expovariate(1.0 / SUBMIT_INTERVAL_S))
            tasks.create_task(_submit_job(site, callers))


async def _submit_job(site: Emulator, callers: Callers) -> None:
    """Submit one job until it is accepted; cancel some of the jobs."""
    job, behavior = _make_job(site)
    while not await site.submit(job, behavior, site.rng.choice(callers.entries)):
        await asyncio.sleep(RETRY_PAUSE_S)
    if site.rng.random() >= CANCELLED_SHARE:
        callers.pending[job.job_id] = job
        return
    await asyncio.sleep(site.rng.uniform(*CANCEL_DELAYS_S))
    while not await site.cancel(job.job_id, site.rng.choice(callers.entries)):
        await asyncio.sleep(RETRY_PAUSE_S)


async def submit_crashing_job(site: Emulator, callers: Callers) -> None:
    """Submit a job of which one task crashes each worker that starts it."""
    await asyncio.sleep(site.rng.expovariate(1.0 / CRASHING_JOB_INTERVAL_S))
    job, behavior = _make_job(site)
    crashing = attrs.evolve(
        behavior,
        crash_after_s=site.rng.choice(CRASH_DELAYS_S),
        crashing_index=site.rng.randrange(job.steps[0].tasks),
    )
    while not await site.submit(job, crashing, site.rng.choice(callers.entries)):
        await asyncio.sleep(RETRY_PAUSE_S)
    callers.pending[job.job_id] = job


def _make_job(site: Emulator) -> tuple[Job, TaskBehavior]:
    """Return a random job: single tasks, a gang, or an urgent gang of whole VMs."""
    rng = site.rng
    job_id = f"{rng.getrandbits(64):016x}"
    run_s = rng.uniform(1.0, 4.0)
    queue, step = rng.choice(
        (
            ("bulk", Step(rng.randint(1, 12), 1000, 1000, 1, run_s, checkpointable=True)),
            ("bulk", Step(rng.randint(1, 12), 1000, 1000, 1, run_s)),
            ("batch", Step(rng.randint(2, 4), 1000, 1000, 4, run_s, gang=True)),
            ("urgent", Step(rng.randint(1, 3), 1000, 1000, 8, run_s, gang=True)),
        )
    )
    steps = (step,) if rng.random() < 0.7 else (step, msgspec.structs.replace(step, after=(0,)))
    job = Job(
        job_id,
        queue,
        service_of(site),
        rng.choice(("north", "south")),
        f"run {job_id}",
        steps,
        accepted_s=site.clock.now_s(),
    )
    return job, TaskBehavior(run_s)


def service_of(site: Emulator) -> str:
    """Return the service that runs all jobs."""
    return site.configuration.services[0].name

"""Sample jobs and steps for tests."""

from __future__ import annotations

import itertools

from briardeal_workflow.model import Job, Step

SERVICE = "sampling"
_numbers = itertools.count(1)


def make_job(
    *steps: Step, queue: str = "bulk", customer: str = "north", job_id: str = "", **fields: object
) -> Job:
    """Return a job with the given steps, by default one step of one small task."""
    name = job_id or f"{next(_numbers):016x}"
    return Job(name, queue, SERVICE, customer, f"run {name}", steps or (small_step(),), **fields)


def small_step(tasks: int = 1, **fields: object) -> Step:
    """Return a step whose tasks use one accelerator each."""
    values = {"cpu_millis": 1000, "memory_mb": 1000, "accelerators": 1, "estimate_s": 4.0}
    return Step(tasks, **{**values, **fields})


def whole_vm_step(tasks: int = 1, **fields: object) -> Step:
    """Return a step whose tasks use all accelerators of a VM each."""
    return small_step(tasks, **{"accelerators": 8, **fields})

"""The order in which waiting jobs are served, worked out from their targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_scheduling.predictions import Prediction
    from briardeal_scheduling.queue._job import Job

MAX_SLOWDOWN = 8.0
"""How many times its run time a job should take in all, within the target of its class."""

MIN_DUE_S = 600.0
"""Time that even the shortest job is given."""


def due_s(job: Job, prediction: Prediction) -> float:
    """Return when a job should be finished: in proportion to its run time, or by its target.

    The time is fixed by the acceptance, so a job that waits comes to the head in the end.
    """
    proportional_s = max(MIN_DUE_S, MAX_SLOWDOWN * prediction.median_s)
    return job.accepted_s + min(job.job_class.finish_within_s, proportional_s)


def order_key(job: Job, prediction: Prediction) -> tuple[bool, float, str]:
    """Return the sort key of a job: urgent work first, then what should be finished first."""
    return not job.urgent, due_s(job, prediction), job.job_id

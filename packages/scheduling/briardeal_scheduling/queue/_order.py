"""Order in which waiting jobs are scheduled, derived from their targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_scheduling.predictions import Prediction
    from briardeal_scheduling.queue._job import Job

TARGET_SLOWDOWN = 8.0
"""Intended ratio of a job's total time, waiting included, to its run time."""

MIN_DUE_S = 600.0
"""Shortest time from acceptance to the due time, in seconds.

A shorter target of the class takes precedence.
"""


def due_s(job: Job, prediction: Prediction) -> float:
    """Return when a job is due, in seconds: in proportion to its run time, or by its target.

    The due time counts from the acceptance, so every waiting job reaches the head of the queue.
    """
    proportional_s = max(MIN_DUE_S, TARGET_SLOWDOWN * prediction.median_s)
    return job.accepted_s + min(job.job_class.finish_within_s, proportional_s)


def order_key(job: Job, prediction: Prediction) -> tuple[bool, float, str]:
    """Return the sort key of a job: urgent jobs first, then by due time."""
    return not job.urgent, due_s(job, prediction), job.job_id

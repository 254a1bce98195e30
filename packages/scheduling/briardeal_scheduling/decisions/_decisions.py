"""Tagged outcomes of one decision round."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs


@attrs.frozen
class Placement:
    """Where the tasks of a job run.

    Parameters
    ----------
    workers
        One VM for each task.
    accelerators
        Accelerators held on each of them.
    """

    workers: tuple[str, ...]
    accelerators: int


class PreemptMode(enum.StrEnum):
    """How a running job gives its accelerators back."""

    CHECKPOINT = "checkpoint"
    """Write a checkpoint, then stop."""
    THROTTLE = "throttle"
    """Go on with as little as possible while it keeps its accelerators."""
    STOP = "stop"
    """Stop at once."""


@dataclass(frozen=True)
class Start:
    """Start every task of a job.

    Parameters
    ----------
    job_id
        The job.
    attempt
        Number of this start of the job, from 1.
    placement
        Where it runs; every accelerator of it is free.
    explanation
        Why here and now, in plain words.
    """

    job_id: str
    attempt: int
    placement: Placement
    explanation: str


@dataclass(frozen=True)
class Preempt:
    """Take a running job from its VMs; it waits again unless it was cancelled."""

    job_id: str
    mode: PreemptMode
    explanation: str


@dataclass(frozen=True)
class Abandon:
    """Give up a job for good; it holds nothing."""

    job_id: str
    explanation: str


Decision = Start | Preempt | Abandon
"""What a round may decide."""

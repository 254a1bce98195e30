"""Decisions of a scheduling round."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs


@attrs.frozen
class Placement:
    """VMs on which the tasks of a job run.

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
    """The job writes a checkpoint, then stops."""
    THROTTLE = "throttle"
    """The job continues at the lowest rate and keeps its accelerators."""
    STOP = "stop"
    """The job stops at once, without a checkpoint."""


@dataclass(frozen=True)
class Start:
    """Start every task of a job.

    Parameters
    ----------
    job_id
        The job.
    attempt
        Number of this attempt to run the job, from 1.
    placement
        VMs of the job; the accelerators that it needs there are free.
    explanation
        Sentence with the cause of the decision.
    """

    job_id: str
    attempt: int
    placement: Placement
    explanation: str


@dataclass(frozen=True)
class Preempt:
    """Stop a running job; it is queued again unless it was cancelled."""

    job_id: str
    mode: PreemptMode
    explanation: str


@dataclass(frozen=True)
class Abandon:
    """Abandon a job permanently; it holds no accelerators."""

    job_id: str
    explanation: str


Decision = Start | Preempt | Abandon
"""A decision of a round."""

"""Outcomes of an attempt to run a job."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Finished:
    """Every task has finished."""


@dataclass(frozen=True)
class Failed:
    """A task failed on the named VM."""

    worker_id: str


@dataclass(frozen=True)
class Lost:
    """The named VM, which ran a task, was lost; the rest of the gang was stopped."""

    worker_id: str


@dataclass(frozen=True)
class Stopped:
    """The job was stopped as ordered.

    Parameters
    ----------
    checkpointed
        Whether a checkpoint holds its work up to the stop.
    """

    checkpointed: bool = False


@dataclass(frozen=True)
class NotStarted:
    """A task could not be reserved on the named VM, so no task of the job ran."""

    worker_id: str


Outcome = Finished | Failed | Lost | Stopped | NotStarted
"""An outcome of an attempt."""

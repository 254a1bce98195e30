"""How an attempt to run a job came to its end."""

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
    """A VM that ran a task is gone, so the rest of the gang was stopped."""

    worker_id: str


@dataclass(frozen=True)
class Stopped:
    """The job was stopped as ordered.

    Parameters
    ----------
    checkpointed
        Whether its work up to now is in a checkpoint.
    """

    checkpointed: bool = False


@dataclass(frozen=True)
class NotStarted:
    """A member could not be reserved on the named VM, so nothing of the gang ran."""

    worker_id: str


Outcome = Finished | Failed | Lost | Stopped | NotStarted
"""What may be reported of an attempt."""

"""What the planner wants done."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId


@dataclass(frozen=True)
class StartTask:
    """A task is to start.

    Parameters
    ----------
    vm_id, task, number
        Where, what, and the number of this start.
    command
        What it is told to run.
    checkpoint
        What it goes on from; empty for the beginning.
    cause, inputs
        Why it starts now and what that was decided from, for the log.
    """

    vm_id: str
    task: TaskId
    number: int
    command: str
    checkpoint: str
    cause: str
    inputs: dict[str, object] = field(default_factory=dict, compare=False)


@dataclass(frozen=True)
class StopTask:
    """A start is to be stopped, or must never take effect.

    Parameters
    ----------
    vm_id, task, number
        Where, what, and the number of the start.
    cause, inputs
        Why and what that was decided from, for the log.
    """

    vm_id: str
    task: TaskId
    number: int
    cause: str
    inputs: dict[str, object] = field(default_factory=dict, compare=False)


Order = StartTask | StopTask

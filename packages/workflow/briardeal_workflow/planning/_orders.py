"""Orders from the planner to VMs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId


@dataclass(frozen=True)
class StartTask:
    """Order to start a task.

    Parameters
    ----------
    vm_id, task, number
        VM, task, and number of the attempt.
    command
        Command that the task runs.
    checkpoint
        Checkpoint to resume from; empty to start from the beginning.
    incarnation
        Incarnation of the worker for which the start was decided.
    cause, inputs
        Reason for starting now, and the values behind that decision, for the log.
    repeated
        Whether the order has been sent before.
    """

    vm_id: str
    task: TaskId
    number: int
    command: str
    checkpoint: str
    incarnation: str
    cause: str
    inputs: dict[str, object] = field(default_factory=dict, compare=False)
    repeated: bool = False


@dataclass(frozen=True)
class StopTask:
    """Order to stop an attempt, or to prevent its start.

    Parameters
    ----------
    vm_id, task, number
        VM, task, and number of the attempt.
    cause, inputs
        Reason for the stop, and the values behind that decision, for the log.
    """

    vm_id: str
    task: TaskId
    number: int
    cause: str
    inputs: dict[str, object] = field(default_factory=dict, compare=False)


Order = StartTask | StopTask

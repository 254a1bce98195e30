"""Running tasks as VMs list them, and tasks of which it is not known whether they run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId


@attrs.frozen
class RunningTask:
    """A running task as its VM lists it, or one whose start has no known outcome yet.

    Parameters
    ----------
    task, number
        Task, and number of the attempt that runs.
    checkpoint
        Newest checkpoint of the task; empty for none.
    percent
        Completed part of the task in percent.
    load
        Approximate value over the last 0.5 s: tail latency in milliseconds for a long-running task
        with a latency target, processor time in use for any other task.
    ran_s
        Time since the start order, in seconds; `None` if its VM does not know it.
    unresolved
        Whether the outcome of its start is not known yet.
    """

    task: TaskId
    number: int
    checkpoint: str = ""
    percent: int = 0
    load: float = 0.0
    ran_s: float | None = None
    unresolved: bool = False

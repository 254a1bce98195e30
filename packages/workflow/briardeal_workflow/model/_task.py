"""IDs of tasks and task groups."""

from __future__ import annotations

from typing import NamedTuple


class TaskGroupId(NamedTuple):
    """ID of the tasks of one occurrence of one step.

    Parameters
    ----------
    job_id
        ID of the job.
    occurrence
        Number of the occurrence, from 0.
    step
        Number of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """ID of a task.

    Parameters
    ----------
    job_id, occurrence, step
        ID of the task group.
    index
        Number of the task within its group, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def group(self) -> TaskGroupId:
        """ID of the group that the task belongs to."""
        return TaskGroupId(self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

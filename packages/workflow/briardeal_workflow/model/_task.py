"""Names of tasks."""

from __future__ import annotations

from typing import NamedTuple


class TaskGroupId(NamedTuple):
    """One occurrence of one step of a job.

    Parameters
    ----------
    job_id
        The job.
    occurrence
        Number of the repetition, from 0.
    step
        Number of the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """One task.

    Parameters
    ----------
    job_id, occurrence, step
        The group that it belongs to.
    index
        Its number within the group, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def group(self) -> TaskGroupId:
        """The occurrence of the step that it belongs to."""
        return TaskGroupId(self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

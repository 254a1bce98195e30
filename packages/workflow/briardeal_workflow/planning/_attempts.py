"""TaskStarter of tasks."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._vms import Resources


RESTART_S = 0.7
"""Time that a restart from a checkpoint costs: the stop, the restoring, and the way of an order."""


URGENT = 0
"""Priority of the most urgent class; higher numbers are less urgent."""


class AttemptPhase(enum.Enum):
    """Where a start stands."""

    ORDERED = "ordered"
    """Its agent was told; whether it has begun is not known yet."""
    RUNNING = "running"
    STOPPING = "stopping"
    """It was told to stop and still takes its room."""


class AttemptOutcome(enum.StrEnum):
    """How a start ended."""

    DONE = "done"
    FAILED = "failed"
    """Through a fault of the task or of its VM."""
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """Its lease ran out."""
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang did not come in time."""
    REFUSED = "refused"
    """It never began."""
    LOST = "lost"
    """Its VM is gone, or runs nothing of it any more."""


@attrs.define(eq=False)
class Attempt:
    """One start of a task.

    Attributes
    ----------
    task, number, vm_id, resources
        What was started, the number of the start, where, and what it takes.
    priority, customer
        Those of its job.
    phase
        Where it stands.
    ordered_s
        When it was ordered, on the loop's clock.
    percent
        Part of its work that is done.
    first_percent, first_listed_s
        That part when its VM first listed it, and when that was.
    last_progress_s
        When the part last grew. Both times are later by gaps in which nothing was told.
    checkpoint
        Newest checkpoint that its VM has told.
    """

    task: TaskId
    number: int
    vm_id: str
    resources: Resources
    priority: int
    customer: str
    checkpoints: bool = False
    phase: AttemptPhase = AttemptPhase.ORDERED
    ordered_s: float = 0.0
    percent: int = 0
    first_percent: int = 0
    first_listed_s: float | None = None
    last_progress_s: float = 0.0
    checkpoint: str = ""

    @property
    def urgent(self) -> bool:
        """Whether its job is of the most urgent class."""
        return self.priority == URGENT

    def unsaved_core_s(self, now_s: float) -> float:
        """Return what a stop would lose, in seconds times cores, an accelerator as eight cores.

        A task that can go on from a checkpoint writes one when it is told to stop.
        """
        lost_s = RESTART_S if self.checkpoints else max(0.0, now_s - self.ordered_s)
        return lost_s * self.resources.core_equivalents

    def exclude_gap(self, gap_s: float, now_s: float) -> None:
        """Leave a time out of account in which nothing was told of it."""
        self.last_progress_s = min(self.last_progress_s + gap_s, now_s)
        if self.first_listed_s is not None:
            self.first_listed_s = min(self.first_listed_s + gap_s, now_s)

    def observed_run_s(self) -> float:
        """Return for how long it was seen to work, in seconds."""
        return 0.0 if self.first_listed_s is None else self.last_progress_s - self.first_listed_s

    def catch_up_s(self) -> float:
        """Return for how long a new start would run to come as far as this one, in seconds."""
        return RESTART_S if self.checkpoints else self.observed_run_s()

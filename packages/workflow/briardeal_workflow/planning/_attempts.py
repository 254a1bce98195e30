"""Attempts to run tasks."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from briardeal_core.jobs import EARLIER_LOSS_FACTOR

if TYPE_CHECKING:
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._vms import Resources


RESTART_S = 0.7
"""Time lost by a restart from a checkpoint where a stop takes 0.4 s."""


ATTEMPT_NUMBERS_PER_EPOCH = 1000
"""Attempt numbers that one owner may use for a task, so that the next owner uses higher ones."""

DONE_PERCENT = 100
"""Percentage reported by a task that has completed its own part."""

URGENT = 0
"""Priority of the most urgent class; higher numbers are less urgent."""


class AttemptPhase(enum.Enum):
    """Phase of an attempt."""

    ORDERED = "ordered"
    """The order was sent; whether the attempt has started is not known yet."""
    RUNNING = "running"
    STOPPING = "stopping"
    """The order to stop was sent; the attempt still occupies its resources."""


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    """The task or its VM had a fault."""
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease of the attempt expired."""
    BROKEN = "broken"
    """Another member of the gang ended."""
    ALONE = "alone"
    """The other members of the gang did not start in time."""
    REFUSED = "refused"
    """The attempt never started."""
    LOST = "lost"
    """The VM was lost, or no longer runs the attempt."""


@attrs.define(eq=False)
class Attempt:
    """One attempt to run a task.

    Attributes
    ----------
    task, number, vm_id, resources
        Task, number of the attempt, VM, and resources that it occupies.
    priority, customer
        Priority and customer of the job.
    checkpointable
        Whether the task can resume from a checkpoint.
    phase
        Current phase.
    ordered_s
        Time of the start order, on the event loop's clock.
    percent
        Completed part of the task in percent.
    first_percent, first_listed_s
        Percentage when the VM first listed the attempt, and the time of that list.
    last_progress_s
        Time when the percentage last grew. This time and `first_listed_s` are moved forward by gaps
        in which the VM reported nothing.
    checkpoint
        Newest checkpoint that the VM has reported.
    probation_until_s
        Until when no other job may start on the VM, because the task may crash it, on the event
        loop's clock; `None` if the task is no suspect.
    awaits_record
        Whether its start waits for a record in the store.
    restart_s
        Time lost by a restart from a checkpoint, in seconds.
    earlier_lost_core_s
        Work that earlier preemptions of the task lost, in core-seconds.
    stopping_since_s
        When the attempt was first seen stopping, on the event loop's clock; `None` before.
    loss_cause
        Cause under which its work is counted as lost, once it was ordered to stop; empty before.
    resumed
        Whether it was ordered to start from a checkpoint.
    compared_percent, compared_s
        Percentage up to which its pace has been compared with that of other attempts, and the time
        of that list; `None` if the next list is the first one to compare with.
    """

    task: TaskId
    number: int
    vm_id: str
    resources: Resources
    priority: int
    customer: str
    checkpointable: bool = False
    phase: AttemptPhase = AttemptPhase.ORDERED
    ordered_s: float = 0.0
    percent: int = 0
    first_percent: int = 0
    first_listed_s: float | None = None
    last_progress_s: float = 0.0
    checkpoint: str = ""
    awaits_record: bool = False
    restart_s: float = RESTART_S
    earlier_lost_core_s: float = 0.0
    probation_until_s: float | None = None
    stopping_since_s: float | None = None
    loss_cause: str = ""
    resumed: bool = False
    compared_percent: int = 0
    compared_s: float | None = None

    @property
    def on_probation(self) -> bool:
        """Whether the task was a suspect at its start and has not been cleared since."""
        return self.probation_until_s is not None

    @property
    def urgent(self) -> bool:
        """Whether the job belongs to the most urgent class."""
        return self.priority == URGENT

    def unsaved_core_s(self, now_s: float) -> float:
        """Return the work lost by a stop, in core-seconds, with accelerators converted to cores.

        A task that can resume from a checkpoint writes one when it is ordered to stop.
        """
        lost_s = self.restart_s if self.checkpointable else max(0.0, now_s - self.ordered_s)
        return lost_s * self.resources.core_equivalents

    def stop_loss_core_s(self, now_s: float) -> float:
        """Return the work lost by a stop and what restarting takes, in core-seconds.

        The capacity is of no use until the stop has ended and another attempt runs, so that a task
        that has just started costs something to stop, and more if it is larger.
        """
        ran_s = 0.0 if self.checkpointable else max(0.0, now_s - self.ordered_s)
        return (ran_s + self.restart_s) * self.resources.core_equivalents

    def preemption_cost_core_s(self, now_s: float) -> float:
        """Return the cost of a preemption, in core-seconds: the work lost now and earlier.

        By the work lost now alone, a task that has just been restarted would always be the cheapest
        one to stop.
        """
        earlier_core_s = EARLIER_LOSS_FACTOR * self.earlier_lost_core_s
        return self.stop_loss_core_s(now_s) + earlier_core_s

    def record_percent(self, percent: int, now_s: float) -> None:
        """Record the progress that its VM reports."""
        # A resumed task reports 0 until it has restored its checkpoint; that jump is no pace.
        restored = self.checkpoint and self.percent == 0 < percent
        if self.first_listed_s is None or restored:
            self.first_percent = percent
            self.first_listed_s = now_s
        if percent > self.percent:
            self.percent = percent
            self.last_progress_s = now_s

    def exclude_gap(self, gap_s: float, now_s: float) -> None:
        """Exclude a gap in which the VM reported nothing from the observed times."""
        self.compared_s = None
        self.last_progress_s = min(self.last_progress_s + gap_s, now_s)
        if self.first_listed_s is not None:
            self.first_listed_s = min(self.first_listed_s + gap_s, now_s)

    def observed_run_s(self) -> float:
        """Return the time between the first list and the last observed progress, in seconds."""
        return 0.0 if self.first_listed_s is None else self.last_progress_s - self.first_listed_s

    def remaining_by_pace_s(self, now_s: float) -> float:
        """Return the remaining run time at the pace observed so far, in seconds.

        Returns infinity as long as no progress has been observed.
        """
        gained_percent = self.percent - self.first_percent
        observed_run_s = self.observed_run_s()
        if gained_percent <= 0 or observed_run_s <= 0:
            return math.inf
        remaining_s = (DONE_PERCENT - self.percent) * observed_run_s / gained_percent
        return max(0.0, self.last_progress_s + remaining_s - now_s)

    def catch_up_s(self) -> float:
        """Return how long a new attempt would take to reach the same progress, in seconds."""
        return self.restart_s if self.checkpointable else self.observed_run_s()

"""One job as the scheduler knows it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling.decisions import DecisionRecord

if TYPE_CHECKING:
    from briardeal_core.configuration import JobClass
    from briardeal_core.jobs import JobRequest
    from briardeal_scheduling.decisions import Placement, PreemptMode


class JobPhase(enum.Enum):
    """Where a job stands with the scheduler."""

    WAITING = "waiting"
    RECLAIMING = "reclaiming"
    """It has VMs and waits for other work to leave them."""
    STARTING = "starting"
    RUNNING = "running"


@attrs.frozen
class Reservation:
    """VMs that are kept for a job until all of them are free.

    Parameters
    ----------
    workers
        The VMs.
    place
        Name of the group that they stand in.
    at_s
        When they are expected to be free.
    made_s
        When they were chosen.
    """

    workers: frozenset[str]
    place: str
    free_at_s: float
    reserved_at_s: float


@attrs.define(eq=False)
class Job:
    """A job that is not over.

    Attributes
    ----------
    request, accepted_s, job_class
        What was asked, when, and the targets that it is held to.
    attempt
        Number of its newest start; 0 before the first.
    placement
        VMs that it holds or waits for.
    started_s
        When the current attempt began to run.
    kept_s
        Run time that stands in its checkpoint.
    leaving
        How it was told to leave, if it was.
    leave_by_s
        When a checkpoint must have been written.
    left_at_s
        When it was told to leave.
    retry_at_s
        When it may start at the earliest.
    hole
        VMs that are kept for it.
    room_asked_s
        When others were last asked to make room for it.
    preemptions
        How often it was told to leave.
    cancelled
        Whether its customer wants it no more.
    pins
        Whether it holds accelerators outside guarantees that it could not give back.
    """

    request: JobRequest
    accepted_s: float
    job_class: JobClass
    phase: JobPhase = JobPhase.WAITING
    attempt: int = 0
    placement: Placement | None = None
    started_s: float = 0.0
    unsaved_since_s: float = 0.0
    saved_run_s: float = 0.0
    preempt_mode: PreemptMode | None = None
    checkpoint_deadline_s: float = 0.0
    preempted_at_s: float = 0.0
    retry_at_s: float = 0.0
    reservation: Reservation | None = None
    preemption_tried_s: float = float("-inf")
    preemptions: int = 0
    cancelled: bool = False
    pinned: bool = False
    record: DecisionRecord = attrs.field(factory=DecisionRecord)

    @property
    def job_id(self) -> str:
        """Name of the job."""
        return self.request.job_id

    @property
    def preemptible(self) -> bool:
        """Whether it can be stopped and go on later."""
        return self.request.idempotent and self.request.checkpointable

    @property
    def urgent(self) -> bool:
        """Whether its class has a target for the start."""
        return self.job_class.start_within_s is not None

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.request.tasks * self.request.accelerators_per_task

    def elapsed_s(self, now_s: float) -> float:
        """Return its run time so far, as far as it was not lost."""
        if self.phase is not JobPhase.RUNNING:
            return self.saved_run_s
        return self.saved_run_s + max(0.0, now_s - self.unsaved_since_s)

    def unsaved_s(self, now_s: float) -> float:
        """Return the run time that a stop would lose."""
        if self.phase is not JobPhase.RUNNING:
            return 0.0
        return max(0.0, now_s - self.unsaved_since_s)

    def mark_running(self, now_s: float) -> None:
        """Note that all tasks run."""
        self.phase = JobPhase.RUNNING
        self.started_s = now_s
        self.unsaved_since_s = now_s

    def record_checkpoint(self, now_s: float) -> None:
        """Note that the work up to now stands in a checkpoint."""
        self.saved_run_s = self.elapsed_s(now_s)
        self.unsaved_since_s = now_s

    def reset_to_waiting(self) -> None:
        """Go back to waiting."""
        self.phase = JobPhase.WAITING
        self.placement = None
        self.preempt_mode = None
        self.reservation = None

"""A job and its state in the scheduler."""

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
    """Phase of a job in the scheduler."""

    WAITING = "waiting"
    RECLAIMING = "reclaiming"
    """It has VMs assigned and waits until other jobs have left them."""
    STARTING = "starting"
    RUNNING = "running"


@attrs.frozen
class Reservation:
    """VMs reserved for a large job until all of them are free.

    Parameters
    ----------
    workers
        The VMs.
    place
        Path of the group that they belong to.
    free_at_s
        When all of them are expected to be free, in seconds.
    reserved_at_s
        When they were chosen, in seconds.
    """

    workers: frozenset[str]
    place: str
    free_at_s: float
    reserved_at_s: float


@attrs.define(eq=False)
class Job:
    """A job that has not finished. Times are in seconds.

    Attributes
    ----------
    request, accepted_s, job_class
        The submitted job, when it was accepted, and its class with the targets.
    attempt
        Number of the newest attempt; 0 before the first.
    placement
        VMs that it holds or that are assigned to it.
    started_s
        When the current attempt began to run.
    unsaved_since_s
        When its work was last saved in a checkpoint, or the attempt began to run.
    saved_run_s
        Run time that its checkpoint holds.
    preempt_mode
        How it was ordered to stop; `None` if it was not.
    checkpoint_deadline_s
        When the job is stopped unless its checkpoint has been written.
    preempted_at_s
        When it was last preempted.
    retry_at_s
        Earliest time of the next start.
    reservation
        VMs reserved for it.
    preemption_tried_s
        When preemptions for it were last planned.
    preemptions
        Number of its preemptions.
    lost_run_s
        Run time that its preemptions lost.
    cancelled
        Whether its customer cancelled it while it ran.
    pinned
        Whether it holds accelerators outside guarantees and can't be preempted.
    record
        Decisions on it, with their causes.
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
    lost_run_s: float = 0.0
    cancelled: bool = False
    pinned: bool = False
    record: DecisionRecord = attrs.field(factory=DecisionRecord)

    @property
    def job_id(self) -> str:
        """Name of the job."""
        return self.request.job_id

    @property
    def preemptible(self) -> bool:
        """Whether it can be stopped and continued later from a checkpoint."""
        return self.request.idempotent and self.request.checkpointable

    @property
    def urgent(self) -> bool:
        """Whether its class has a target for the time until the start."""
        return self.job_class.start_within_s is not None

    @property
    def accelerators(self) -> int:
        """Accelerators of all its tasks."""
        return self.request.tasks * self.request.accelerators_per_task

    def elapsed_s(self, now_s: float) -> float:
        """Return its run time so far, without the part lost by stops."""
        if self.phase is not JobPhase.RUNNING:
            return self.saved_run_s
        return self.saved_run_s + max(0.0, now_s - self.unsaved_since_s)

    def unsaved_s(self, now_s: float) -> float:
        """Return the run time since the last checkpoint, which a stop would lose."""
        if self.phase is not JobPhase.RUNNING:
            return 0.0
        return max(0.0, now_s - self.unsaved_since_s)

    def mark_running(self, now_s: float) -> None:
        """Record that all tasks run."""
        self.phase = JobPhase.RUNNING
        self.started_s = now_s
        self.unsaved_since_s = now_s

    def record_checkpoint(self, now_s: float) -> None:
        """Record that a checkpoint holds the work up to now."""
        self.saved_run_s = self.elapsed_s(now_s)
        self.unsaved_since_s = now_s

    def reset_to_waiting(self) -> None:
        """Return the job to the phase `WAITING`, without VMs."""
        self.phase = JobPhase.WAITING
        self.placement = None
        self.preempt_mode = None
        self.reservation = None

"""Records of the job stream."""

from __future__ import annotations

import msgspec

from briardeal_core.jobs import JobRequest, JobState
from briardeal_core.log import RecordKind, Schema

JOB_STREAM = "jobs"


class JobAccepted(msgspec.Struct, frozen=True, kw_only=True):
    """A job was accepted and will run.

    Parameters
    ----------
    job
        The job as submitted.
    region
        Region whose owner schedules the job.
    """

    job: JobRequest
    region: str = ""


class JobPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """A job was placed on workers; queued for the log before the gang is started.

    Parameters
    ----------
    job_id
        The job.
    attempt
        Number of the attempt, from 1.
    workers
        Worker of each task.
    token
        Fencing token of the owner that placed the job.
    why
        Reason for the decision, in one sentence.
    """

    job_id: str
    attempt: int
    workers: tuple[str, ...]
    token: int
    why: str


class JobStarted(msgspec.Struct, frozen=True, kw_only=True):
    """All tasks of an attempt are running."""

    job_id: str
    attempt: int
    token: int


class AttemptClosing(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt was abandoned, but some of its tasks may still run.

    An entry that has read this record no longer confirms the gang to its agents, so that they stop
    its tasks.
    """

    job_id: str
    attempt: int
    token: int
    why: str


class AttemptEnded(msgspec.Struct, frozen=True, kw_only=True):
    """No task of an attempt runs any more, and the job waits to be started again.

    Parameters
    ----------
    job_id, attempt, token
        The job, the number of the attempt and the fencing token of the owner.
    why
        How the attempt ended, in one sentence.
    checkpoints
        Newest checkpoint of each task, in the order of the tasks; empty without checkpoints.
    """

    job_id: str
    attempt: int
    token: int
    why: str
    checkpoints: tuple[str, ...] = ()


class JobEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A job has reached a final state.

    Parameters
    ----------
    job_id
        The job.
    state
        Final state of the job.
    why
        Reason, in one sentence.
    token
        Fencing token of the owner.
    """

    job_id: str
    state: JobState
    why: str
    token: int = 0


class JobCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """The customer cancelled a job; it ends once none of its tasks runs."""

    job_id: str


class OwnerStarted(msgspec.Struct, frozen=True, kw_only=True):
    """A new owner takes over; later decisions of earlier owners have no effect.

    Parameters
    ----------
    region
        Region that is taken over.
    token
        Fencing token of the new owner.
    """

    region: str
    token: int


JobRecord = (
    JobAccepted
    | JobPlaced
    | JobStarted
    | AttemptClosing
    | AttemptEnded
    | JobEnded
    | JobCancelled
    | OwnerStarted
)
"""Any record of the job stream."""

JOB_SCHEMA = Schema(
    [
        RecordKind("job_accepted", JobAccepted),
        RecordKind("job_placed", JobPlaced),
        RecordKind("job_started", JobStarted),
        RecordKind("attempt_closing", AttemptClosing),
        RecordKind("attempt_ended", AttemptEnded),
        RecordKind("job_ended", JobEnded),
        RecordKind("job_cancelled", JobCancelled),
        RecordKind("owner_started", OwnerStarted),
    ]
)

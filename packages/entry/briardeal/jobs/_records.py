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
        The job.
    region
        Region whose owner decides on it.
    """

    job: JobRequest
    region: str = ""


class JobPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """A job was given workers; written before its members are started.

    Parameters
    ----------
    job_id
        The job.
    attempt
        Number of the start, from 1.
    workers
        Workers of the gang, one for each task.
    token
        Fencing token of the owner that decided.
    why
        The decision in a sentence.
    """

    job_id: str
    attempt: int
    workers: tuple[str, ...]
    token: int
    why: str


class JobStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Every task of an attempt runs."""

    job_id: str
    attempt: int
    token: int


class AttemptClosing(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt is over for good, but some of its tasks may still run.

    No entry confirms its gang after it has read this.
    """

    job_id: str
    attempt: int
    token: int
    why: str


class AttemptEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Nothing of an attempt runs any more, and the job waits again.

    Parameters
    ----------
    job_id, attempt, token
        The job, the number of its start and the owner that says so.
    why
        How it ended, in a sentence.
    checkpoints
        Newest checkpoint of each task, in the order of the tasks; empty where there is none.
    """

    job_id: str
    attempt: int
    token: int
    why: str
    checkpoints: tuple[str, ...] = ()


class JobEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A job has come to its end.

    Parameters
    ----------
    job_id
        The job.
    state
        Its final state.
    why
        The reason in a sentence.
    token
        Fencing token of the owner that says so.
    """

    job_id: str
    state: JobState
    why: str
    token: int = 0


class JobCancelled(msgspec.Struct, frozen=True, kw_only=True):
    """The customer wants a job no more; it ends once nothing of it runs."""

    job_id: str


class OwnerStarted(msgspec.Struct, frozen=True, kw_only=True):
    """A new owner takes over; decisions of earlier ones have no effect behind this record.

    Parameters
    ----------
    region
        The region.
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
"""Any record of the stream."""

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

"""Records of the job stream."""

from __future__ import annotations

import msgspec

from briardeal_core.jobs import JobRequest, JobState

JOB_STREAM = "jobs"


class JobAccepted(msgspec.Struct, frozen=True, tag="accepted", kw_only=True):
    """A job was accepted and will run."""

    job: JobRequest


class JobPlaced(msgspec.Struct, frozen=True, tag="placed", kw_only=True):
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


class JobEnded(msgspec.Struct, frozen=True, tag="ended", kw_only=True):
    """A job has come to its end.

    Parameters
    ----------
    job_id
        The job.
    state
        Its final state.
    why
        The reason in a sentence.
    """

    job_id: str
    state: JobState
    why: str


JobRecord = JobAccepted | JobPlaced | JobEnded
"""Any record of the stream."""

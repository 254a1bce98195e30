"""Table of all stored jobs."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.job_table._records import (
    CANCEL,
    JOB,
    KINDS,
    Progress,
    cancel_key,
    decode_record,
    job_key,
    progress_key,
)

if TYPE_CHECKING:
    from briardeal_workflow.model import Job

NO_PROGRESS = Progress()


class JobState(enum.StrEnum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define
class JobStatus:
    """Status of one job.

    Attributes
    ----------
    job
        Submitted job; `None` as long as only its cancellation or progress has been read.
    cancelled
        Whether a caller has cancelled the job.
    progress
        Saved progress of the job.
    ended_s
        When this process read that the job has finished, on the event loop's clock; `None` before.
    """

    job: Job | None = None
    cancelled: bool = False
    progress: Progress = NO_PROGRESS
    ended_s: float | None = None

    @property
    def state(self) -> JobState:
        """Current state of the job."""
        if self.progress.state:
            return JobState(self.progress.state)
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.progress.started else JobState.QUEUED

    @property
    def finished(self) -> bool:
        """Whether no task of the job may run any more."""
        return self.cancelled or bool(self.progress.state)


class JobTable:
    """Table of jobs, built from their records.

    Attributes
    ----------
    jobs
        Jobs by ID.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobStatus] = {}
        self._offsets: dict[str, int] = {}

    def apply(self, key: str, value: bytes | None, offset: int, now_s: float) -> str | None:
        """Apply a record and return the ID of the job that it changes, if any.

        A record that is older than the last one applied for its key has no effect. Such records
        occur because pages of the newest records are read while others are written.
        """
        kind, _, job_id = key.partition("/")
        if kind not in KINDS or offset <= self._offsets.get(key, -1):
            return None
        if value is None:
            self._remove(kind, job_id)
            return None
        self._offsets[key] = offset
        status = self.jobs.setdefault(job_id, JobStatus())
        if kind == CANCEL:
            status.cancelled = True
        else:
            record = decode_record(kind, value)
            if record is None:
                log_event(Event.RECORD_BROKEN, key=key, offset=offset)
                return None
            if kind == JOB:
                status.job = status.job or record
            else:
                status.progress = record
        if status.finished and status.ended_s is None:
            status.ended_s = now_s
        return job_id

    def get(self, job_id: str) -> JobStatus | None:
        """Return the status of a job; `None` if the record with the job has not been read."""
        status = self.jobs.get(job_id)
        return status if status is not None and status.job is not None else None

    def find_job(self, job_id: str) -> Job | None:
        """Return a job as it was submitted; `None` if its record has not been read."""
        status = self.jobs.get(job_id)
        return None if status is None else status.job

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first task to start."""
        return sum(
            status.job is not None
            and status.job.queue == queue
            and not status.finished
            and not status.progress.started
            for status in self.jobs.values()
        )

    def finished_before(self, ended_before_s: float) -> list[str]:
        """Return the jobs that finished before a given time on the event loop's clock."""
        return [
            job_id
            for job_id, status in self.jobs.items()
            if status.ended_s is not None and status.ended_s < ended_before_s
        ]

    def _remove(self, kind: str, job_id: str) -> None:
        """Remove a job; the key of the job itself is the last of its keys to be deleted."""
        if kind == JOB:
            self.jobs.pop(job_id, None)
            for key in (job_key(job_id), cancel_key(job_id), progress_key(job_id)):
                self._offsets.pop(key, None)

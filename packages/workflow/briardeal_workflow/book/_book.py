"""All jobs that are kept."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.book._records import (
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

NOTHING = Progress()


class JobState(enum.StrEnum):
    """Where a job stands, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define
class JobStatus:
    """What is known of one job.

    Attributes
    ----------
    job
        The job; `None` while only its cancelling or progress has been read.
    cancelled
        Whether a caller has cancelled it.
    progress
        How far it has come.
    ended_s
        When this process learnt of its end, on the loop's clock; `None` before.
    """

    job: Job | None = None
    cancelled: bool = False
    progress: Progress = NOTHING
    ended_s: float | None = None

    @property
    def state(self) -> JobState:
        """Where the job stands."""
        if self.progress.state:
            return JobState(self.progress.state)
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.progress.started else JobState.QUEUED

    @property
    def finished(self) -> bool:
        """Whether nothing of it may run any more."""
        return self.cancelled or bool(self.progress.state)


class JobTable:
    """Folds records into the state of each job.

    Attributes
    ----------
    jobs
        Jobs by name.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobStatus] = {}
        self._offsets: dict[str, int] = {}

    def apply(self, key: str, value: bytes | None, offset: int, now_s: float) -> str | None:
        """Take over a record and return the job that it changes, if it does.

        Records that are older than what is known of their key have no effect, since pages of the
        newest records are read while others are written.
        """
        kind, _, job_id = key.partition("/")
        if kind not in KINDS or offset <= self._offsets.get(key, -1):
            return None
        if value is None:
            self._drop(kind, job_id)
            return None
        self._offsets[key] = offset
        entry = self.jobs.setdefault(job_id, JobStatus())
        if kind == CANCEL:
            entry.cancelled = True
        else:
            record = decode_record(kind, value)
            if record is None:
                log_event(Event.RECORD_BROKEN, key=key, offset=offset)
                return None
            if kind == JOB:
                entry.job = entry.job or record
            else:
                entry.progress = record
        if entry.finished and entry.ended_s is None:
            entry.ended_s = now_s
        return job_id

    def get(self, job_id: str) -> JobStatus | None:
        """Return what is known of an accepted job."""
        entry = self.jobs.get(job_id)
        return entry if entry is not None and entry.job is not None else None

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first task."""
        return sum(
            entry.job is not None
            and entry.job.queue == queue
            and not entry.finished
            and not entry.progress.started
            for entry in self.jobs.values()
        )

    def finished_before(self, ended_before_s: float) -> list[str]:
        """Return the jobs that were over before a time on the loop's clock."""
        return [
            job_id
            for job_id, entry in self.jobs.items()
            if entry.ended_s is not None and entry.ended_s < ended_before_s
        ]

    def _drop(self, kind: str, job_id: str) -> None:
        """Forget a job; its own record is the last of its keys to be removed."""
        if kind == JOB:
            self.jobs.pop(job_id, None)
            for key in (job_key(job_id), cancel_key(job_id), progress_key(job_id)):
                self._offsets.pop(key, None)

"""The view of all jobs that follows from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal.jobs._records import (
    AttemptClosing,
    AttemptEnded,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobPlaced,
    JobStarted,
    OwnerStarted,
)
from briardeal.jobs._view import JobView
from briardeal_core.jobs import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.jobs._records import JobRecord
    from briardeal_core.log import Delivered

ENDED_RETENTION_S = 48 * 3600.0
"""How long an ended job can still be looked up."""

ACCEPTED_WHY = "The job has been accepted and waits for its first decision."


class JobTableState(msgspec.Struct):
    """State of the job table as stored in a snapshot."""

    jobs: list[JobView]
    tokens: dict[str, int]


class JobTable:
    """All jobs, folded from the records of the job stream in order.

    A decision has an effect only if its owner had not been replaced before the record, so that
    records written late by an earlier owner change nothing. That every task has finished is a fact
    and counts from anyone.

    Attributes
    ----------
    jobs
        The jobs by name, in the order of their acceptance.
    active
        Those among them that have not ended.
    tokens
        Fencing token of the newest owner, by region.
    listeners
        Called after every change.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.active: dict[str, JobView] = {}
        self.tokens: dict[str, int] = {}
        self.listeners: list[Callable[[], None]] = []
        self._ended: dict[str, float] = {}

    def apply(self, item: Delivered) -> None:
        """Take the next record of the log."""
        self._take(item.record, item.appended_at_s)
        self._forget(item.appended_at_s - ENDED_RETENTION_S)
        for listener in self.listeners:
            listener()

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        return msgspec.msgpack.encode(JobTableState(list(self.jobs.values()), self.tokens))

    def restore(self, state: bytes) -> bool:
        """Replace the state by that of a snapshot; return whether it could be read."""
        try:
            found = msgspec.msgpack.decode(state, type=JobTableState)
        except msgspec.MsgspecError:
            return False
        self.jobs = {view.job.job_id: view for view in found.jobs}
        self.active = {name: view for name, view in self.jobs.items() if not view.ended}
        self.tokens = found.tokens
        ended = (view for view in found.jobs if view.ended_at_s is not None)
        by_end = sorted(ended, key=lambda view: view.ended_at_s)
        self._ended = {view.job.job_id: view.ended_at_s for view in by_end}
        for listener in self.listeners:
            listener()
        return True

    def active_in_region(self, region: str) -> list[JobView]:
        """Return the jobs of a region that have not ended, oldest first."""
        return [view for view in self.active.values() if view.region == region]

    def _take(self, record: JobRecord, at_s: float) -> None:
        if isinstance(record, JobAccepted):
            self._accept(record)
        elif isinstance(record, OwnerStarted):
            known = self.tokens.get(record.region, 0)
            self.tokens[record.region] = max(known, record.token)
        else:
            view = self.jobs.get(record.job_id)
            if view is not None and not view.ended:
                self._change(view, record, at_s)

    def _of(self, region: str) -> list[JobView]:
        return [view for view in self.jobs.values() if view.region == region]

    def _accept(self, record: JobAccepted) -> None:
        job_id = record.job.job_id
        if job_id not in self.jobs:
            view = JobView(job=record.job, region=record.region)
            view.tell(ACCEPTED_WHY)
            self.jobs[job_id] = self.active[job_id] = view

    def _change(self, view: JobView, record: JobRecord, at_s: float) -> None:
        fenced = not isinstance(record, JobCancelled) and record.token < self._token_of(view)
        if isinstance(record, JobEnded):
            if fenced and record.state is not JobState.FINISHED:
                return
            view.state = record.state
            view.tell(record.why)
            view.ended_at_s = at_s
            self._ended[record.job_id] = at_s
            del self.active[record.job_id]
        elif isinstance(record, JobCancelled):
            view.cancelled = True
        elif not fenced:
            self._decide(view, record, at_s)

    def _token_of(self, view: JobView) -> int:
        return self.tokens.get(view.region, 0)

    def _decide(self, view: JobView, record: JobRecord, at_s: float) -> None:
        if isinstance(record, JobPlaced):
            if (record.token, record.attempt) > (view.token, view.attempt):
                _place(view, record, at_s)
        elif record.attempt != view.attempt or not view.open:
            return
        elif isinstance(record, JobStarted):
            view.state = JobState.RUNNING
        elif isinstance(record, AttemptClosing):
            view.closing = True
            view.tell(record.why)
        elif isinstance(record, AttemptEnded):
            view.state = JobState.WAITING
            view.closing = False
            view.checkpoints = record.checkpoints or view.checkpoints
            view.tell(record.why)

    def _forget(self, before_s: float) -> None:
        while self._ended:
            job_id = next(iter(self._ended))
            if self._ended[job_id] >= before_s:
                return
            del self._ended[job_id]
            self.jobs.pop(job_id, None)


def _place(view: JobView, record: JobPlaced, at_s: float) -> None:
    view.state = JobState.STARTING
    view.attempt = record.attempt
    view.token = record.token
    view.workers = record.workers
    view.placed_at_s = at_s
    view.closing = False
    view.tell(record.why)

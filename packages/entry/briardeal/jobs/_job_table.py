"""The state of all jobs, rebuilt from the records of the job stream."""

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
    from briardeal_core.log import StreamRecord

ENDED_RETENTION_S = 48 * 3600.0
"""How long a job that has ended can still be looked up."""

ACCEPTED_WHY = "The job has been accepted and waits for its first decision."


class JobTableState(msgspec.Struct):
    """State of the job table as stored in a snapshot."""

    jobs: list[JobView]
    tokens: dict[str, int]


class JobTable:
    """State of all jobs, rebuilt by applying the records of the job stream in order.

    Every decision carries the fencing token of its owner. It is ignored if a newer owner of the
    region was recorded before it, so that late records of a replaced owner change nothing. The
    exception is a job whose tasks have all finished: that is a fact rather than a decision, so it
    is applied whichever owner recorded it.

    Attributes
    ----------
    jobs
        All jobs by identifier, in the order of their acceptance.
    active
        Jobs that have not ended, by identifier.
    tokens
        Fencing token of the newest owner of each region.
    listeners
        Called after every applied record and after a restored snapshot.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}
        self.active: dict[str, JobView] = {}
        self.tokens: dict[str, int] = {}
        self.listeners: list[Callable[[], None]] = []
        self._ended_at_s: dict[str, float] = {}

    def apply(self, item: StreamRecord) -> None:
        """Apply the next record of the job stream."""
        self._apply_record(item.record, item.appended_at_s)
        self._remove_ended(item.appended_at_s - ENDED_RETENTION_S)
        for listener in self.listeners:
            listener()

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return msgspec.msgpack.encode(JobTableState(list(self.jobs.values()), self.tokens))

    def restore(self, state: bytes) -> bool:
        """Replace the state with that of a snapshot; return whether it could be decoded."""
        try:
            snapshot = msgspec.msgpack.decode(state, type=JobTableState)
        except msgspec.MsgspecError:
            return False
        self.jobs = {view.job.job_id: view for view in snapshot.jobs}
        self.active = {name: view for name, view in self.jobs.items() if not view.ended}
        self.tokens = snapshot.tokens
        ended = (view for view in snapshot.jobs if view.ended_at_s is not None)
        by_end = sorted(ended, key=lambda view: view.ended_at_s)
        self._ended_at_s = {view.job.job_id: view.ended_at_s for view in by_end}
        for listener in self.listeners:
            listener()
        return True

    def active_in_region(self, region: str) -> list[JobView]:
        """Return the jobs of a region that have not ended, in the order of their acceptance."""
        return [view for view in self.active.values() if view.region == region]

    def _apply_record(self, record: JobRecord, at_s: float) -> None:
        if isinstance(record, JobAccepted):
            self._add_job(record)
        elif isinstance(record, OwnerStarted):
            known = self.tokens.get(record.region, 0)
            self.tokens[record.region] = max(known, record.token)
        else:
            view = self.jobs.get(record.job_id)
            if view is not None and not view.ended:
                self._update_job(view, record, at_s)

    def _of(self, region: str) -> list[JobView]:
        return [view for view in self.jobs.values() if view.region == region]

    def _add_job(self, record: JobAccepted) -> None:
        job_id = record.job.job_id
        if job_id not in self.jobs:
            view = JobView(job=record.job, region=record.region)
            view.add_explanation(ACCEPTED_WHY)
            self.jobs[job_id] = self.active[job_id] = view

    def _update_job(self, view: JobView, record: JobRecord, at_s: float) -> None:
        fenced = not isinstance(record, JobCancelled) and record.token < self._newest_token(view)
        if isinstance(record, JobEnded):
            if fenced and record.state is not JobState.FINISHED:
                return
            view.state = record.state
            view.add_explanation(record.why)
            view.ended_at_s = at_s
            self._ended_at_s[record.job_id] = at_s
            del self.active[record.job_id]
        elif isinstance(record, JobCancelled):
            view.cancelled = True
        elif not fenced:
            self._apply_decision(view, record, at_s)

    def _newest_token(self, view: JobView) -> int:
        return self.tokens.get(view.region, 0)

    def _apply_decision(self, view: JobView, record: JobRecord, at_s: float) -> None:
        if isinstance(record, JobPlaced):
            if (record.token, record.attempt) > (view.token, view.attempt):
                _apply_placement(view, record, at_s)
        elif record.attempt != view.attempt or not view.has_open_attempt:
            return
        elif isinstance(record, JobStarted):
            view.state = JobState.RUNNING
        elif isinstance(record, AttemptClosing):
            view.closing = True
            view.add_explanation(record.why)
        elif isinstance(record, AttemptEnded):
            view.state = JobState.WAITING
            view.closing = False
            view.checkpoints = record.checkpoints or view.checkpoints
            view.add_explanation(record.why)

    def _remove_ended(self, before_s: float) -> None:
        while self._ended_at_s:
            job_id = next(iter(self._ended_at_s))
            if self._ended_at_s[job_id] >= before_s:
                return
            del self._ended_at_s[job_id]
            self.jobs.pop(job_id, None)


def _apply_placement(view: JobView, record: JobPlaced, at_s: float) -> None:
    view.state = JobState.STARTING
    view.attempt = record.attempt
    view.token = record.token
    view.workers = record.workers
    view.placed_at_s = at_s
    view.closing = False
    view.add_explanation(record.why)

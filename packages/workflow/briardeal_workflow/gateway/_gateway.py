"""Decisions on the calls of callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_workflow.job_table import cancel_key, encode_record, job_key
from briardeal_workflow.model import find_validation_error
from briardeal_workflow.store import Appended, NotStored, Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.job_table import JobStatus, JobTable
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import Job
    from briardeal_workflow.store import Follower, Store

TRY_TIMEOUT_S = 0.7
"""Time for one append; a store in order answers within 10 ms, a silent connection never."""

RETRY_S = 0.1
"""Pause before an append without an answer is repeated."""

TRIES = 2
"""Tries after which a call without an answer is given up: the second goes through another entry,
and a store that answers neither is down for seconds, so that the caller had better come back."""

STALE_S = 2.0
"""Age of what was read from which this entry no longer says that a job is unknown."""

RETRY_AFTER_S = 1.0
"""When to ask again while the store does not answer: callers wait 3 s in all, and outages last some
seconds, so that they get three tries instead of wasting all at once."""

UNCERTAIN_LIMIT = 10_000
"""Most jobs of uncertain appends that are remembered; an append lands within seconds or never."""

CANCELLED = b"\x01"


@dataclass(frozen=True)
class Submitted:
    """The job is kept; `known` says whether it was before."""

    known: bool


class Gateway:
    """Takes jobs and tells their states.

    Parameters
    ----------
    store, topic
        Where jobs are kept.
    book, follower
        What is kept of jobs, and how new that is.
    apply
        Takes over a record that this entry has appended, as if it had been read.
    metrics
        What it counts.

    Attributes
    ----------
    uncertain
        Jobs of which an append has not been answered; it is not known whether they are kept.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        book: JobTable,
        follower: Follower,
        apply: Callable[[Record], None],
        metrics: WorkflowMetrics,
    ) -> None:
        self.metrics = metrics
        self.store = store
        self.topic = topic
        self.book = book
        self.follower = follower
        self.apply = apply
        self.uncertain: dict[str, None] = {}

    @property
    def informed(self) -> bool:
        """Whether what was read is new enough to say that a job is unknown."""
        return self.follower.caught_up.is_set() and self.follower.age_s < STALE_S

    async def submit(self, job: Job, deadline_s: float) -> Submitted | Refusal:
        """Keep a job and answer; the same job again changes nothing.

        Parameters
        ----------
        job
            The job.
        deadline_s
            When its caller stops waiting, on the loop's clock.
        """
        if self.book.get(job.job_id) is not None:
            self._log_acceptance(job, known=True)
            return Submitted(known=True)
        mistake = find_validation_error(job)
        if mistake:
            refusal = Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, detail=mistake)
            self._log_refusal(refusal, job.job_id, queue=job.queue)
            return refusal
        record = Record(job_key(job.job_id), encode_record(job))
        began_s = loop_time()
        refusal = await self._keep(job.job_id, record, deadline_s)
        labels = {"outcome": "accepted" if refusal is None else refusal.reason.code}
        took_s = loop_time() - began_s
        self.metrics.acceptance_s.observe(labels, took_s)
        if refusal is not None:
            self._log_refusal(refusal, job.job_id, queue=job.queue, took_s=round(took_s, 3))
            return refusal
        self._log_acceptance(job, known=False)
        return Submitted(known=False)

    async def cancel(self, job_id: str, deadline_s: float) -> bool | Refusal:
        """Cancel a job and return whether it is known."""
        entry = self.book.get(job_id)
        if entry is None:
            if self.informed and job_id not in self.uncertain:
                return False
            refusal = self._uninformed()
            self._log_refusal(refusal, job_id, call="cancel")
            return refusal
        if entry.finished:
            return True
        record = Record(cancel_key(job_id), CANCELLED)
        refusal = await self._keep(job_id, record, deadline_s)
        if refusal is not None:
            self._log_refusal(refusal, job_id, call="cancel")
            return refusal
        log_event(Event.JOB_CANCELLED, job_id=job_id)
        return True

    def find(self, job_id: str) -> JobStatus | None | Refusal:
        """Return a job, or `None` for one that certainly was not accepted."""
        entry = self.book.get(job_id)
        if entry is not None:
            return entry
        if not self.informed or job_id in self.uncertain:
            refusal = self._uninformed()
            self._log_refusal(refusal, job_id, call="find")
            return refusal
        return None

    async def _keep(self, job_id: str, record: Record, deadline_s: float) -> Refusal | None:
        """Append a record and return why it is not certain to be kept."""
        if not self.follower.in_reach and job_id not in self.uncertain:
            return self._refuse("The store was not in reach a moment ago.")
        for tries in range(TRIES):
            if tries:
                await asyncio.sleep(RETRY_S)
            left_s = deadline_s - loop_time()
            if left_s <= 0:
                break
            outcome = await self.store.append(
                self.topic, [record], timeout_s=min(TRY_TIMEOUT_S, left_s)
            )
            if isinstance(outcome, Appended):
                self.uncertain.pop(job_id, None)
                self.apply(attrs.evolve(record, offset=outcome.end - 1))
                return None
            if isinstance(outcome, NotStored) and job_id not in self.uncertain:
                return self._refuse(outcome.detail)
            self._note_uncertain(job_id)
            log_event(Event.APPEND_UNCERTAIN, job_id=job_id, detail=str(outcome))
        return Refusal(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN, RETRY_AFTER_S)

    def _note_uncertain(self, job_id: str) -> None:
        self.uncertain[job_id] = None
        if len(self.uncertain) > UNCERTAIN_LIMIT:
            del self.uncertain[next(iter(self.uncertain))]

    def _log_acceptance(self, job: Job, *, known: bool) -> None:
        log_event(
            Event.JOB_ACCEPTED,
            job_id=job.job_id,
            queue=job.queue,
            customer=job.customer,
            tasks=sum(step.tasks for step in job.steps),
            known=known,
        )

    def _log_refusal(self, refusal: Refusal, job_id: str, **inputs: object) -> None:
        log_event(
            Event.JOB_REFUSED,
            job_id=job_id,
            reason=refusal.reason.code,
            run_state=refusal.run_state,
            detail=refusal.detail,
            **inputs,
        )

    def _uninformed(self) -> Refusal:
        detail = f"What was read is {self.follower.age_s:.1f} s old."
        return Refusal(Reason.LOG_UNAVAILABLE, RunState.UNKNOWN, RETRY_AFTER_S, detail)

    def _refuse(self, detail: str) -> Refusal:
        return Refusal(Reason.LOG_UNAVAILABLE, RunState.NOT_RUN, RETRY_AFTER_S, detail)

"""Acceptance, lookup and cancellation of jobs for callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_workflow.admission import URGENT
from briardeal_workflow.job_table import cancel_key, encode_record, job_key
from briardeal_workflow.model import find_validation_error
from briardeal_workflow.store import Appended, NotStored, Page, Record, estimate_upload_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.gateway._admission import AdmissionControl
    from briardeal_workflow.job_table import JobStatus, JobTable
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import Job
    from briardeal_workflow.store import Follower, Store

APPEND_TIMEOUT_S = 0.7
"""Time for the answer to an append; a healthy store answers within 10 ms, a silent connection
never."""

RETRY_PAUSE_S = 0.1
"""Pause before an unanswered append is repeated."""

MAX_APPEND_TRIES = 2
"""Number of times that an append is tried. The second try goes through another entry; a store that
answers neither is down for seconds, so that the caller has to retry later."""

MAX_READ_AGE_S = 2.0
"""Age of the records read from which this entry no longer reports a job as unknown."""

RETRY_AFTER_S = 1.0
"""Delay that callers are asked to wait before a retry while the store does not answer. Callers wait
3 s in all and outages last some seconds, so that their three tries are spread over an outage."""

UNCONFIRMED_JOBS_LIMIT = 10_000
"""Largest number of jobs with unconfirmed appends to remember; the store completes a delayed append
within seconds or never."""

DISTURBED_S = 15.0
"""Time after an unanswered append in which no job is refused by an estimate: callers make five
calls of 3 s each, and jobs of their earlier calls may be stored without this entry knowing it."""

CONFIRM_TIMEOUT_S = 0.3
"""Time in which the store must confirm that it does not have a job that is to be refused; a healthy
store answers within 10 ms. Otherwise the job is accepted as if there were no estimate."""

MAX_CONFIRMING_READS = 3
"""Reads for that; records that are written meanwhile take more than one."""

CANCELLED = b"\x01"
"""Value of the record that cancels a job; it is not decoded."""


@dataclass(frozen=True)
class Submitted:
    """The job is stored; `known` is true if it was stored before this call."""

    known: bool


class Gateway:
    """Accepts, looks up and cancels jobs.

    Parameters
    ----------
    store, topic
        Store and topic that contain the jobs.
    job_table, follower
        Jobs read from the topic, and the follower that reads them.
    apply
        Called with each record that this entry has appended, as if it had been read.
    metrics
        Metrics in which acceptance times are recorded.
    admission
        Refuses jobs that would be of no use; by default all valid jobs are accepted.

    Attributes
    ----------
    unconfirmed_jobs
        IDs of jobs with an unanswered append, in the order of the first such append;
        the job may or may not be stored.
    unconfirmed_s
        Time of the newest unanswered append, on the event loop's clock.
    appending_jobs
        IDs of jobs with an append under way.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        job_table: JobTable,
        follower: Follower,
        apply: Callable[[Record], None],
        metrics: WorkflowMetrics,
        admission: AdmissionControl | None = None,
    ) -> None:
        self.admission = admission
        self.metrics = metrics
        self.store = store
        self.topic = topic
        self.job_table = job_table
        self.follower = follower
        self.apply = apply
        self.unconfirmed_jobs: dict[str, None] = {}
        self.unconfirmed_s = float("-inf")
        self.appending_jobs: set[str] = set()

    @property
    def up_to_date(self) -> bool:
        """Whether the records read are recent enough to report a job as unknown."""
        return self.follower.caught_up.is_set() and self.follower.age_s < MAX_READ_AGE_S

    async def submit(self, job: Job, deadline_s: float) -> Submitted | Refusal:
        """Store a job; submitting the same job again has no further effect.

        Parameters
        ----------
        job
            Submitted job.
        deadline_s
            When the caller stops waiting, on the loop's clock.
        """
        if self.job_table.get(job.job_id) is not None:
            self._log_acceptance(job, known=True)
            return Submitted(known=True)
        mistake = find_validation_error(job)
        if mistake:
            refusal = Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, detail=mistake)
            self._log_refusal(refusal, job.job_id, queue=job.queue)
            return refusal
        if self.admission is not None and self._is_certainly_new(job.job_id):
            left_s = deadline_s - loop_time()
            admitted = self.admission.check(job, left_s, self.metrics, self._asked_by)
            if admitted.refusal is not None and (
                left_s <= 0 or await self._is_unstored(job.job_id, deadline_s)
            ):
                self._log_refusal(admitted.refusal, job.job_id, queue=job.queue, **admitted.inputs)
                return admitted.refusal
        record = Record(job_key(job.job_id), encode_record(job))
        began_s = loop_time()
        self.appending_jobs.add(job.job_id)
        try:
            refusal = await self._append(job.job_id, record, deadline_s)
        finally:
            self.appending_jobs.discard(job.job_id)
        labels = {"outcome": "accepted" if refusal is None else refusal.reason.code}
        took_s = loop_time() - began_s
        self.metrics.acceptance_s.observe(labels, took_s)
        if refusal is not None:
            self._log_refusal(refusal, job.job_id, queue=job.queue, took_s=round(took_s, 3))
            return refusal
        self._log_acceptance(job, known=False)
        return Submitted(known=False)

    async def cancel(self, job_id: str, deadline_s: float) -> bool | Refusal:
        """Cancel a job and return whether it exists."""
        job_status = self.job_table.get(job_id)
        if job_status is None:
            if self.up_to_date and job_id not in self.unconfirmed_jobs:
                return False
            refusal = self._refuse_out_of_date()
            self._log_refusal(refusal, job_id, call="cancel")
            return refusal
        if job_status.finished:
            return True
        record = Record(cancel_key(job_id), CANCELLED)
        refusal = await self._append(job_id, record, deadline_s)
        if refusal is not None:
            self._log_refusal(refusal, job_id, call="cancel")
            return refusal
        log_event(Event.JOB_CANCELLED, job_id=job_id)
        return True

    def find(self, job_id: str) -> JobStatus | None | Refusal:
        """Return a job, or `None` if it was certainly not accepted."""
        job_status = self.job_table.get(job_id)
        if job_status is not None:
            return job_status
        if not self.up_to_date or job_id in self.unconfirmed_jobs:
            refusal = self._refuse_out_of_date()
            self._log_refusal(refusal, job_id, call="find")
            return refusal
        return None

    def _is_certainly_new(self, job_id: str) -> bool:
        """Return whether no earlier call can have stored the job, so that `not_run` is true.

        An earlier call may have come through another entry while the store lost answers, or wrote
        late, and callers try again for some seconds.
        """
        disturbed = loop_time() - self.unconfirmed_s < DISTURBED_S
        return (
            job_id not in self.unconfirmed_jobs
            and job_id not in self.appending_jobs
            and self.follower.reachable
            and self.up_to_date
            and not disturbed
        )

    async def _is_unstored(self, job_id: str, deadline_s: float) -> bool:
        """Return whether the store has no record of a job, by a read that begins now.

        An earlier call may have stored it through another entry since the newest read of this one.
        """
        key, offset = job_key(job_id), self.follower.next_offset
        try:
            async with asyncio.timeout(min(CONFIRM_TIMEOUT_S, deadline_s - loop_time())):
                for _ in range(MAX_CONFIRMING_READS):
                    page = await self.store.read(self.topic, offset, wait_s=0.0)
                    if not isinstance(page, Page) or any(each.key == key for each in page.records):
                        return False
                    if not page.records:
                        return self.job_table.get(job_id) is None
                    offset = page.next_offset
        except TimeoutError:
            pass
        return False

    def _asked_by(self, customer: str) -> int:
        """Return the accelerators that the unfinished urgent jobs of a customer ask for."""
        return sum(
            status.job.steps[0].tasks * status.job.steps[0].accelerators
            for status in self.job_table.jobs.values()
            if status.job is not None
            and status.job.customer == customer
            and status.job.terms.priority == URGENT
            and not status.finished
        )

    async def _append(self, job_id: str, record: Record, deadline_s: float) -> Refusal | None:
        """Append a record; return `None` if it is stored, or else the refusal for the caller."""
        if not self.follower.reachable and job_id not in self.unconfirmed_jobs:
            return self._refuse_not_run("The store did not answer the newest read.")
        for retry in range(MAX_APPEND_TRIES):
            if retry:
                await asyncio.sleep(RETRY_PAUSE_S)
            remaining_s = deadline_s - loop_time()
            if remaining_s <= 0:
                break
            timeout_s = min(APPEND_TIMEOUT_S + estimate_upload_s([record]), remaining_s)
            outcome = await self.store.append(self.topic, [record], timeout_s=timeout_s)
            if isinstance(outcome, Appended):
                self.unconfirmed_jobs.pop(job_id, None)
                self.apply(attrs.evolve(record, offset=outcome.end - 1))
                return None
            if isinstance(outcome, NotStored) and job_id not in self.unconfirmed_jobs:
                return self._refuse_not_run(outcome.detail)
            self._record_unconfirmed(job_id)
            log_event(Event.APPEND_UNCERTAIN, job_id=job_id, detail=str(outcome))
        return Refusal(Reason.LOG_ANSWER_LOST, RunState.UNKNOWN, RETRY_AFTER_S)

    def _record_unconfirmed(self, job_id: str) -> None:
        self.unconfirmed_jobs[job_id] = None
        self.unconfirmed_s = loop_time()
        if len(self.unconfirmed_jobs) > UNCONFIRMED_JOBS_LIMIT:
            del self.unconfirmed_jobs[next(iter(self.unconfirmed_jobs))]

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

    def _refuse_out_of_date(self) -> Refusal:
        detail = f"The records read are {self.follower.age_s:.1f} s old."
        return Refusal(Reason.LOG_UNAVAILABLE, RunState.UNKNOWN, RETRY_AFTER_S, detail)

    def _refuse_not_run(self, detail: str) -> Refusal:
        return Refusal(Reason.LOG_UNAVAILABLE, RunState.NOT_RUN, RETRY_AFTER_S, detail)

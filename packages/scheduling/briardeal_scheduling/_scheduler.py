"""Interface of the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.configuration import JobClass
from briardeal_scheduling.decisions import Cause, Preempt, PreemptMode, format_duration
from briardeal_scheduling.queue import Job, JobPhase
from briardeal_scheduling.rounds import (
    SchedulerState,
    SchedulingRound,
    check_request,
    handle_outcome,
    remove_lost_worker,
)

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_core.reasons import Refusal
    from briardeal_scheduling.decisions import Decision, Outcome, Placement

FALLBACK_CLASS = JobClass(name="", finish_within_s=24 * 3600.0)
"""Class of an adopted job whose own class is not configured."""

REVISIT_INTERVAL_S = 120.0
"""Longest time between rounds while jobs wait, in seconds."""

NEVER_S = float("inf")


class Scheduler:
    """Decides which job runs where and when.

    It does no I/O: callers report events, with the time in seconds on a monotonic clock, and ask
    for decisions. The state assumes that every returned decision is carried out.

    Attributes
    ----------
    state
        VMs, guarantees and jobs; read-only for callers.
    orders
        Decisions that follow from reported events, to be returned by the next `decide`.
    """

    def __init__(self) -> None:
        self.state = SchedulerState()
        self.orders: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a new configuration."""
        state = self.state
        state.configuration = configuration
        state.classes = {job_class.name: job_class for job_class in configuration.classes}
        state.customers = {customer.name: customer for customer in configuration.customers}
        for job in state.table.jobs.values():
            job.job_class = state.classes.get(job.request.job_class, job.job_class)
        for job_id in state.ledger.configure(configuration):
            self._pin_job(job_id)

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a VM; if one of the same name is up, it is replaced and its jobs are lost."""
        if shape.worker_id in self.state.fleet.workers:
            self.worker_down(shape.worker_id, now_s)
        self.state.add_worker(shape)

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Remove a VM and return the jobs that had tasks on it.

        The attempt of such a job has ended: the job is queued again, or abandoned if it may not run
        twice. The caller must stop its tasks on other VMs.
        """
        if worker_id not in self.state.fleet.workers:
            return []
        return remove_lost_worker(self.state, worker_id, now_s, self.orders)

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Queue a job, or return why it can never run; a job that is known is not queued again."""
        if request.job_id in self.state.table.jobs or request.job_id in self.state.ended_records:
            return None
        refusal = check_request(self.state, request)
        if refusal is not None:
            return refusal
        job_class = self.state.classes[request.job_class]
        job = Job(request, now_s, job_class)
        target = format_duration(job_class.finish_within_s)
        job.record.add(now_s, Cause.ACCEPTED, job_class=job_class.name, target=target)
        self.state.table.add(job)
        return None

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether it was known; a running one is stopped by `decide`."""
        job = self.state.table.jobs.get(job_id)
        if job is None:
            return False
        job.record.add(now_s, Cause.CANCELLED)
        if job.phase in (JobPhase.WAITING, JobPhase.RECLAIMING):
            self.state.remove_job(job)
            return True
        job.cancelled = True
        self._order_stop(job)
        return True

    def adopt(
        self, job: JobRequest, placement: Placement, started_s: float, attempt: int = 1
    ) -> None:
        """Add a job that agents report as running.

        Parameters
        ----------
        job
            The job.
        placement
            Its VMs. Tasks on a VM that is not up count as load as soon as it comes up.
        started_s
            When the attempt began to run, in seconds.
        attempt
            Number of the attempt.
        """
        if job.job_id in self.state.table.jobs and self.state.table.jobs[job.job_id].placement:
            return
        known_job = self.state.table.jobs.get(job.job_id)
        job_class = self.state.classes.get(job.job_class, FALLBACK_CLASS)
        adopted_job = known_job or Job(job, started_s, job_class)
        adopted_job.attempt = attempt
        adopted_job.mark_running(started_s)
        self._assign_adopted_to_guarantee(adopted_job, placement)
        self.state.occupy(adopted_job, placement)
        self.state.table.add(adopted_job)
        self.state.ledger.stale = True
        adopted_job.record.add(started_s, Cause.ADOPTED, vms=len(placement.workers))

    def report_started(self, job_id: str, now_s: float) -> None:
        """Record that every task of a job runs."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase is JobPhase.STARTING:
            job.mark_running(now_s)

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of an attempt and free the accelerators that it held."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase in (JobPhase.STARTING, JobPhase.RUNNING):
            handle_outcome(self.state, job, outcome, now_s, self.orders)

    def report_usage(self, job_id: str, run_s: float, observed_s: float, now_s: float) -> None:
        """Record a usage report, which arrives after a delay.

        Parameters
        ----------
        job_id
            The job.
        run_s
            Run time of all its attempts when the usage was measured, in seconds.
        observed_s
            When the usage was measured, in seconds.
        now_s
            Current time, in seconds.
        """
        job = self.state.table.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.RUNNING:
            return
        run_s += now_s - observed_s
        request = job.request
        if run_s > self.state.predict_run_time(job, now_s).median_s:
            self.state.history.record_overdue(request.customer, request.job_class, job_id, run_s)

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Record that a checkpoint holds the work of a job up to now."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase is JobPhase.RUNNING:
            job.record_checkpoint(now_s)

    def decide(self, now_s: float) -> list[Decision]:
        """Run a scheduling round and return the decisions, in the order to carry them out."""
        orders, self.orders = self.orders, []
        return orders + SchedulingRound(self.state, now_s).run()

    def next_decision_s(self, now_s: float) -> float:
        """Return when `decide` must be called if no event occurs before; infinity for never."""
        state = self.state
        times = [job.checkpoint_deadline_s for job in state.table.stopping.values()]
        times += [job.retry_at_s for job in state.table.waiting.values()]
        times.append(state.failure_tracker.next_trial_s())
        if state.table.waiting:
            times.append(now_s + REVISIT_INTERVAL_S)
        return min((at_s for at_s in times if at_s > now_s), default=NEVER_S)

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return the decisions on a job with their reasons, oldest first; empty if unknown."""
        job = self.state.table.jobs.get(job_id)
        record = self.state.ended_records.get(job_id) if job is None else job.record
        return record.format_sentences(now_s) if record else []

    def shortfalls(self) -> list[str]:
        """Return a sentence for each guarantee that can't be met now, or for a missing margin."""
        ledger = self.state.ledger
        if ledger.stale:
            ledger.replan(self.state.fleet)
        sentences = [
            Cause.GUARANTEE_SHORT.format_sentence(
                customer=short.customer,
                job_class=short.job_class,
                held=short.booked_vms,
                wanted=short.guaranteed_vms,
            )
            for short in ledger.shortfalls()
        ]
        if not sentences and not ledger.margin_held:
            sentences.append(Cause.MARGIN_SHORT.format_sentence(margin=ledger.margin_vms))
        return sentences

    def _order_stop(self, job: Job) -> None:
        if job.preempt_mode is None:
            self.state.fleet.count_leaving(job.placement)
        if job.preempt_mode is not PreemptMode.STOP:
            self.orders.append(
                Preempt(job.job_id, PreemptMode.STOP, Cause.CANCELLED.format_sentence())
            )
        job.preempt_mode = PreemptMode.STOP
        job.checkpoint_deadline_s = NEVER_S
        self.state.table.reindex(job)

    def _pin_job(self, job_id: str) -> None:
        job = self.state.table.jobs[job_id]
        if job.placement and job.placement.accelerators and not job.preemptible:
            job.pinned = True
            self.state.fleet.count_pinned(job.placement)

    def _assign_adopted_to_guarantee(self, job: Job, placement: Placement) -> None:
        ledger = self.state.ledger
        if ledger.stale:
            ledger.replan(self.state.fleet)
        booking = ledger.find_booking(job.request)
        if booking and set(placement.workers) <= set(booking.unused_workers):
            ledger.assign_job(job.job_id, booking, placement.workers)

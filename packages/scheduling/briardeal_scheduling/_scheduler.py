"""The scheduler as its callers see it."""

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
"""Targets of a running job whose class is no longer configured."""

REVISIT_INTERVAL_S = 120.0
"""Time between rounds while jobs wait and nothing else happens."""

NEVER_S = float("inf")


class Scheduler:
    """Decides which job runs where and when.

    It does no I/O: callers tell it what happened, with the time in seconds on a clock that never
    goes back, and ask for decisions. Every decision counts as carried out when it is returned.

    Attributes
    ----------
    state
        What the decisions are taken from; for reading only.
    """

    def __init__(self) -> None:
        self.state = SchedulerState()
        self.orders: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Take over a new configuration."""
        state = self.state
        state.configuration = configuration
        state.classes = {job_class.name: job_class for job_class in configuration.classes}
        state.customers = {customer.name: customer for customer in configuration.customers}
        for job in state.table.jobs.values():
            job.job_class = state.classes.get(job.request.job_class, job.job_class)
        for job_id in state.ledger.configure(configuration):
            self._pin_job(job_id)

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a VM; one of the same name that was there before is replaced and its jobs lost."""
        if shape.worker_id in self.state.fleet.workers:
            self.worker_down(shape.worker_id, now_s)
        self.state.fleet.add(shape)
        self.state.ledger.mark_capacity_freed()

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Take out a VM and return the jobs that were lost with it.

        A lost job counts as ended and waits again, or is given up where it may not run twice; its
        other members must be stopped.
        """
        if worker_id not in self.state.fleet.workers:
            return []
        return remove_lost_worker(self.state, worker_id, now_s, self.orders)

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Take a job, or return why it can never run. The same job again changes nothing."""
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
        """Cancel a job and return whether it was known; a running one is stopped next round."""
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
        """Take over a job that agents report as running.

        Parameters
        ----------
        job
            The job.
        placement
            Where it runs; members on VMs that are not known yet are counted once those are up.
        started_s
            When it began to run.
        attempt
            Number of its start.
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
        """Note that every task of a job runs."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase is JobPhase.STARTING:
            job.mark_running(now_s)

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Note how an attempt ended; every accelerator that it held counts as free."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase in (JobPhase.STARTING, JobPhase.RUNNING):
            handle_outcome(self.state, job, outcome, now_s, self.orders)

    def report_usage(self, job_id: str, run_s: float, observed_s: float, now_s: float) -> None:
        """Note a usage report, which comes late.

        Parameters
        ----------
        job_id
            The job.
        run_s
            How long it had run when it was observed, over all its attempts, in seconds.
        observed_s
            When it was observed.
        now_s
            The time now.
        """
        job = self.state.table.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.RUNNING:
            return
        run_s += now_s - observed_s
        request = job.request
        if run_s > self.state.predict_run_time(job, now_s).median_s:
            self.state.history.record_overdue(request.customer, request.job_class, job_id, run_s)

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Note that the work of a job up to now stands in a checkpoint."""
        job = self.state.table.jobs.get(job_id)
        if job is not None and job.phase is JobPhase.RUNNING:
            job.record_checkpoint(now_s)

    def decide(self, now_s: float) -> list[Decision]:
        """Return what is to be done now, in this order."""
        orders, self.orders = self.orders, []
        return orders + SchedulingRound(self.state, now_s).run()

    def next_decision_s(self, now_s: float) -> float:
        """Return when `decide` must be called even if nothing happens; infinity for never."""
        state = self.state
        times = [job.checkpoint_deadline_s for job in state.table.stopping.values()]
        times += [job.retry_at_s for job in state.table.waiting.values()]
        times.append(state.failure_tracker.next_trial_s())
        if state.table.waiting:
            times.append(now_s + REVISIT_INTERVAL_S)
        return min((at_s for at_s in times if at_s > now_s), default=NEVER_S)

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return what was decided on a job and why, oldest first; empty for an unknown job."""
        job = self.state.table.jobs.get(job_id)
        record = self.state.ended_records.get(job_id) if job is None else job.record
        return record.format_sentences(now_s) if record else []

    def shortfalls(self) -> list[str]:
        """Return a sentence for each guarantee that does not hold at the moment."""
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

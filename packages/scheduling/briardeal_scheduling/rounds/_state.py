"""State of the scheduler."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Configuration, JobClass
from briardeal_scheduling.fleet import Fleet
from briardeal_scheduling.guarantees import GuaranteeLedger
from briardeal_scheduling.health import FailureTracker
from briardeal_scheduling.predictions import Prediction, RunTimeHistory
from briardeal_scheduling.queue import JobPhase, JobTable

if TYPE_CHECKING:
    from briardeal_core.configuration import Customer
    from briardeal_core.jobs import WorkerShape
    from briardeal_scheduling.decisions import DecisionRecord, Placement
    from briardeal_scheduling.queue import Job

ENDED_RECORDS_LIMIT = 5000
"""Most finished jobs whose decision records are stored for explanations."""

AVOID_FAILED_S = 600.0
"""Time after its retry delay during which a job avoids VMs that it failed on, in seconds."""

PREDICTION_TTL_S = 60.0
"""Time for which a prediction is cached, in seconds."""


@attrs.define(eq=False)
class SchedulerState:
    """VMs, guarantees and jobs, with run times and failures observed so far.

    Attributes
    ----------
    ended_records
        Decision records of finished jobs, oldest first.
    predictions
        Cached predictions by job, each with the time at which it was made.
    fits_idle_vms
        Cache: whether a job fits on the VMs if nothing else runs, by version of the VMs and shape
        of the job.
    planned_at_s
        When the bookings were last planned in a round, in seconds.
    bookings_moved_at_s
        When moving bookings for a job that can't be preempted was last tried, in seconds.
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    classes: dict[str, JobClass] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    fleet: Fleet = attrs.field(factory=Fleet)
    ledger: GuaranteeLedger = attrs.field(factory=GuaranteeLedger)
    table: JobTable = attrs.field(factory=JobTable)
    history: RunTimeHistory = attrs.field(factory=RunTimeHistory)
    failure_tracker: FailureTracker = attrs.field(factory=FailureTracker)
    ended_records: OrderedDict[str, DecisionRecord] = attrs.field(factory=OrderedDict)
    predictions: dict[str, tuple[float, Prediction]] = attrs.field(factory=dict)
    fits_idle_vms: dict[tuple[object, ...], bool] = attrs.field(factory=dict)
    planned_at_s: float = float("-inf")
    bookings_moved_at_s: float = float("-inf")

    @property
    def examined(self) -> int:
        """VMs examined since the start, as a measure of the cost of decisions."""
        fleet = self.fleet
        indexes = (fleet.free, fleet.free_unbooked, fleet.slots)
        return self.ledger.examined + sum(index.examined for index in indexes)

    def predict_run_time(self, job: Job, now_s: float) -> Prediction:
        """Return the predicted total run time of a job."""
        predicted_at_s, prediction = self.predictions.get(job.job_id, (-PREDICTION_TTL_S, None))
        if prediction is None or now_s - predicted_at_s >= PREDICTION_TTL_S:
            request = job.request
            prediction = self.history.predict(
                request.customer, request.job_class, request.declared_run_s
            )
            self.predictions[job.job_id] = (now_s, prediction)
        return prediction

    def avoided_workers(self, job: Job, now_s: float) -> set[str]:
        """Return the VMs that a job avoids because it failed on them."""
        if now_s > job.retry_at_s + AVOID_FAILED_S:
            return set()
        return self.failure_tracker.failed_workers(job.job_id)

    def trial_workers_closed_to(self, job: Job) -> set[str]:
        """Return VMs on trial that a job must not use.

        A VM on trial gets one job at a time, of a single task that is idempotent.
        """
        harmless = job.request.idempotent and job.request.tasks == 1
        workers = self.fleet.workers
        return {
            worker_id
            for worker_id, health in self.failure_tracker.workers.items()
            if health.on_trial
            and worker_id in workers
            and not (harmless and not workers[worker_id].tasks)
        }

    def add_worker(self, shape: WorkerShape) -> None:
        """Add a VM that came up, with the jobs that were adopted on it before."""
        self.fleet.add(shape)
        for job_id in self.fleet.jobs_on_missing.pop(shape.worker_id, ()):
            job = self.table.jobs[job_id]
            placement = attrs.evolve(job.placement, workers=(shape.worker_id,))
            self.fleet.occupy(job_id, placement, job.pinned)
            if job.preempt_mode:
                self.fleet.count_leaving(placement)
        self.ledger.mark_capacity_freed()

    def occupy(self, job: Job, placement: Placement) -> None:
        """Place a job on VMs that are free."""
        self.table.count_quota(job)
        self._assign(job, placement)
        self.fleet.occupy(job.job_id, placement, job.pinned)

    def assign_pending(self, job: Job, placement: Placement) -> None:
        """Assign VMs to a job that waits until other jobs have left them."""
        self.table.count_quota(job)
        self._assign(job, placement)
        self.fleet.count_pending(placement)
        if job.pinned:
            self.fleet.count_pinned(placement)
        job.phase = JobPhase.RECLAIMING
        self.table.reindex(job)

    def occupy_pending(self, job: Job) -> None:
        """Place a job on the VMs that were assigned to it."""
        self.fleet.count_pending(job.placement, -1)
        if job.pinned:
            self.fleet.count_pinned(job.placement, -1)
        self.fleet.occupy(job.job_id, job.placement, job.pinned)

    def vacate(self, job: Job) -> None:
        """Free the VMs that a job holds or that are assigned to it."""
        if job.placement is None:
            return
        if job.phase is JobPhase.RECLAIMING:
            self.fleet.count_pending(job.placement, -1)
            if job.pinned:
                self.fleet.count_pinned(job.placement, -1)
        else:
            if job.preempt_mode:
                self.fleet.count_leaving(job.placement, -1)
            self.fleet.vacate(job.job_id, job.placement, job.pinned)
        if job.pinned or job.job_id in self.ledger.guarantee_by_job:
            self.ledger.mark_capacity_freed()
        self.ledger.release_job(job.job_id)
        self.table.count_quota(job, -1)
        job.pinned = False

    def requeue(self, job: Job) -> None:
        """Free the VMs of a job and put it back into the queue."""
        self.vacate(job)
        job.reset_to_waiting()
        self.table.reindex(job)

    def remove_job(self, job: Job) -> None:
        """Remove a job that has finished and store its decision record."""
        self.vacate(job)
        self.table.remove(job)
        self.predictions.pop(job.job_id, None)
        self.failure_tracker.remove_failures(job.job_id)
        request = job.request
        self.history.remove_overdue(request.customer, request.job_class, job.job_id)
        self.ended_records[job.job_id] = job.record
        while len(self.ended_records) > ENDED_RECORDS_LIMIT:
            self.ended_records.popitem(last=False)

    def _assign(self, job: Job, placement: Placement) -> None:
        job.placement = placement
        job.reservation = None
        claimed = job.job_id in self.ledger.guarantee_by_job
        job.pinned = bool(placement.accelerators) and not claimed and not job.preemptible

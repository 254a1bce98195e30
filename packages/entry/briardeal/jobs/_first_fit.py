"""A first-fit scheduler that needs no configuration and starts jobs first come, first served."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling import (
    Abandon,
    Failed,
    Finished,
    NotStarted,
    Placement,
    Preempt,
    PreemptMode,
    Start,
)

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_core.reasons import Refusal
    from briardeal_scheduling import Decision, Outcome

FAILURE_LIMIT = 3
RETRY_S = 1.0
START_WHY = "The job was given the first workers with room."
WAIT_WHY = "The job waits until enough workers have room."
GAVE_UP_FAILED = "The job failed on three starts and is given up."
GAVE_UP_MAY_HAVE_RUN = "The job may not run twice, and its only run broke off."
CANCELLED = "Its customer cancelled it."


@attrs.define
class _TrackedJob:
    request: JobRequest
    placement: Placement | None = None
    failures: int = 0
    cancelled: bool = False
    retry_at_s: float = 0.0


class FirstFitScheduler:
    """Starts jobs in the order of their acceptance on the first workers with free capacity."""

    def __init__(self) -> None:
        self.shapes: dict[str, WorkerShape] = {}
        self.jobs: dict[str, _TrackedJob] = {}
        self.pending_decisions: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Ignore the new configuration; this scheduler has no settings."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a worker that has become available."""
        self.shapes[shape.worker_id] = shape

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Remove a lost worker, on which no job is placed."""
        self.shapes.pop(worker_id, None)
        return []

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Queue a job; none is rejected."""
        self.jobs.setdefault(request.job_id, _TrackedJob(request))
        return None

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether the job was known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if job.placement is None:
            del self.jobs[job_id]
        else:
            job.cancelled = True
            self.pending_decisions.append(Preempt(job_id, PreemptMode.STOP, CANCELLED))
        return True

    def adopt(
        self, job: JobRequest, placement: Placement, started_s: float, attempt: int = 1
    ) -> None:
        """Add a job that is already running."""
        self.jobs.setdefault(job.job_id, _TrackedJob(job)).placement = placement

    def report_started(self, job_id: str, now_s: float) -> None:
        """Ignore that every task of a job runs."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Ignore that a job has saved its work in a checkpoint."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of an attempt."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.placement = None
        job.retry_at_s = now_s + RETRY_S
        if isinstance(outcome, Failed):
            job.failures += 1
        if job.cancelled or isinstance(outcome, Finished):
            del self.jobs[job_id]
        elif job.failures >= FAILURE_LIMIT:
            self._abandon(job_id, GAVE_UP_FAILED)
        elif not isinstance(outcome, NotStarted) and not job.request.idempotent:
            self._abandon(job_id, GAVE_UP_MAY_HAVE_RUN)

    def decide(self, now_s: float) -> list[Decision]:
        """Return the decisions to carry out now."""
        decisions, self.pending_decisions = self.pending_decisions, []
        for job in self.jobs.values():
            if job.placement is None and job.retry_at_s <= now_s:
                workers = self._choose_workers(job.request)
                if workers:
                    job.placement = Placement(workers, job.request.accelerators_per_task)
                    decisions.append(Start(job.request.job_id, 0, job.placement, START_WHY))
        return decisions

    def next_decision_s(self) -> float:
        """Return the time by which `decide` must be called again even if nothing happens."""
        times = [job.retry_at_s for job in self.jobs.values() if job.placement is None]
        return min(times, default=float("inf"))

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return the current decision on a job, in one sentence."""
        job = self.jobs.get(job_id)
        if job is None:
            return []
        return [WAIT_WHY if job.placement is None else START_WHY]

    def _choose_workers(self, request: JobRequest) -> tuple[str, ...]:
        free = {worker_id: shape.accelerators for worker_id, shape in self.shapes.items()}
        for job in self.jobs.values():
            for worker_id in job.placement.workers if job.placement else ():
                if worker_id in free:
                    free[worker_id] -= job.placement.accelerators
        fitting = [w for w, count in free.items() if count >= request.accelerators_per_task]
        return tuple(fitting[: request.tasks]) if len(fitting) >= request.tasks else ()

    def _abandon(self, job_id: str, why: str) -> None:
        del self.jobs[job_id]
        self.pending_decisions.append(Abandon(job_id, why))

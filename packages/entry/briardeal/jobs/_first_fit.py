"""Decisions without a configuration: first come, first served, on the first workers with room."""

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
class _Job:
    request: JobRequest
    placement: Placement | None = None
    failures: int = 0
    cancelled: bool = False
    retry_at_s: float = 0.0


class FirstFitScheduler:
    """Starts jobs in the order of their acceptance on the first workers with room."""

    def __init__(self) -> None:
        self.shapes: dict[str, WorkerShape] = {}
        self.jobs: dict[str, _Job] = {}
        self.orders: list[Decision] = []

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Take over a new configuration, which changes nothing here."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a worker."""
        self.shapes[shape.worker_id] = shape

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Take out a worker that holds nothing."""
        self.shapes.pop(worker_id, None)
        return []

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Take a job."""
        self.jobs.setdefault(request.job_id, _Job(request))
        return None

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether it was known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if job.placement is None:
            del self.jobs[job_id]
        else:
            job.cancelled = True
            self.orders.append(Preempt(job_id, PreemptMode.STOP, CANCELLED))
        return True

    def adopt(
        self, job: JobRequest, placement: Placement, started_s: float, attempt: int = 1
    ) -> None:
        """Take over a job that runs."""
        self.jobs.setdefault(job.job_id, _Job(job)).placement = placement

    def report_started(self, job_id: str, now_s: float) -> None:
        """Note that every task of a job runs."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Note that the work of a job up to now stands in a checkpoint."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Note how an attempt ended."""
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
            self._give_up(job_id, GAVE_UP_FAILED)
        elif not isinstance(outcome, NotStarted) and not job.request.idempotent:
            self._give_up(job_id, GAVE_UP_MAY_HAVE_RUN)

    def decide(self, now_s: float) -> list[Decision]:
        """Return what is to be done now."""
        orders, self.orders = self.orders, []
        for job in self.jobs.values():
            if job.placement is None and job.retry_at_s <= now_s:
                workers = self._choose(job.request)
                if workers:
                    job.placement = Placement(workers, job.request.accelerators_per_task)
                    orders.append(Start(job.request.job_id, 0, job.placement, START_WHY))
        return orders

    def next_decision_s(self) -> float:
        """Return when `decide` must be called even if nothing happens."""
        times = [job.retry_at_s for job in self.jobs.values() if job.placement is None]
        return min(times, default=float("inf"))

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return what is decided on a job."""
        job = self.jobs.get(job_id)
        if job is None:
            return []
        return [WAIT_WHY if job.placement is None else START_WHY]

    def _choose(self, request: JobRequest) -> tuple[str, ...]:
        free = {worker_id: shape.accelerators for worker_id, shape in self.shapes.items()}
        for job in self.jobs.values():
            for worker_id in job.placement.workers if job.placement else ():
                if worker_id in free:
                    free[worker_id] -= job.placement.accelerators
        room = [w for w, count in free.items() if count >= request.accelerators_per_task]
        return tuple(room[: request.tasks]) if len(room) >= request.tasks else ()

    def _give_up(self, job_id: str, why: str) -> None:
        del self.jobs[job_id]
        self.orders.append(Abandon(job_id, why))

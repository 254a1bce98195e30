"""The scheduler that the owner of a region expects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_core.reasons import Refusal
    from briardeal_scheduling import Decision, Outcome, Placement


class JobScheduler(Protocol):
    """Decides which job runs where and when, without any I/O.

    `briardeal_scheduling.Scheduler` implements it. Times are in seconds on the clock of the event
    loop.
    """

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a new configuration."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a worker that has become available."""

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Remove a lost worker and return the jobs that were running on it."""

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Queue a job, or return why it is rejected."""

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether the job was known."""

    def adopt(
        self, job: JobRequest, placement: Placement, started_s: float, attempt: int = 1
    ) -> None:
        """Add a job that is already running."""

    def report_started(self, job_id: str, now_s: float) -> None:
        """Record that every task of a job runs."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of an attempt."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Record that a job has saved its work up to now in a checkpoint."""

    def decide(self, now_s: float) -> list[Decision]:
        """Return the decisions to carry out now."""

    def next_decision_s(self) -> float:
        """Return the time by which `decide` must be called again even if nothing happens."""

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return the decisions on a job and their reasons, one sentence each, oldest first."""

"""What the owner of a region needs of whatever decides on jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_core.reasons import Refusal
    from briardeal_scheduling import Decision, Outcome, Placement


class JobScheduler(Protocol):
    """Decides which job runs where and when, without any I/O.

    `briardeal_scheduling.Scheduler` is one. Times are in seconds on the loop's clock.
    """

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Take over a new configuration."""

    def worker_up(self, shape: WorkerShape, now_s: float) -> None:
        """Add a worker."""

    def worker_down(self, worker_id: str, now_s: float) -> list[str]:
        """Take out a worker and return the jobs that were lost with it."""

    def submit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Take a job, or return why it can never run."""

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether it was known."""

    def adopt(
        self, job: JobRequest, placement: Placement, started_s: float, attempt: int = 1
    ) -> None:
        """Take over a job that runs."""

    def report_started(self, job_id: str, now_s: float) -> None:
        """Note that every task of a job runs."""

    def report_ended(self, job_id: str, outcome: Outcome, now_s: float) -> None:
        """Note how an attempt ended."""

    def report_checkpoint(self, job_id: str, now_s: float) -> None:
        """Note that the work of a job up to now stands in a checkpoint."""

    def decide(self, now_s: float) -> list[Decision]:
        """Return what is to be done now."""

    def next_decision_s(self) -> float:
        """Return when `decide` must be called even if nothing happens."""

    def explain(self, job_id: str, now_s: float) -> list[str]:
        """Return what was decided on a job and why, oldest first."""

"""The view of all jobs that follows from the log."""

from __future__ import annotations

import attrs

from briardeal.jobs._records import JobAccepted, JobEnded, JobPlaced, JobRecord
from briardeal_core.jobs import JobRequest, JobState


@attrs.define
class JobView:
    """One job as the log tells it.

    Parameters
    ----------
    job
        The job as declared.
    state
        Where it stands.
    attempt
        Number of its last start; 0 before the first.
    workers
        Workers of the last start.
    why
        The last decision in a sentence.
    """

    job: JobRequest
    state: JobState = JobState.WAITING
    attempt: int = 0
    workers: tuple[str, ...] = ()
    why: str = "The job has been accepted and waits for its first decision."


class JobBoard:
    """All jobs, folded from the records of the job stream in order.

    Attributes
    ----------
    jobs
        The jobs by name, in the order of their acceptance.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}

    def apply(self, record: JobRecord) -> None:
        """Take one record."""
        if isinstance(record, JobAccepted):
            self.jobs.setdefault(record.job.job_id, JobView(record.job))
            return
        view = self.jobs.get(record.job_id)
        if view is None:
            return
        view.why = record.why
        if isinstance(record, JobPlaced):
            view.state = JobState.STARTING
            view.attempt = record.attempt
            view.workers = record.workers
        elif isinstance(record, JobEnded):
            view.state = record.state

    def waiting(self) -> list[JobView]:
        """Return the jobs that wait for workers, oldest first."""
        return [view for view in self.jobs.values() if view.state is JobState.WAITING]

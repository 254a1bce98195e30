"""The state of one job, rebuilt from the job stream."""

from __future__ import annotations

import msgspec

from briardeal_core.jobs import JobRequest, JobState

HISTORY_LIMIT = 32
ENDED_STATES = {JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.REFUSED}


class JobView(msgspec.Struct, kw_only=True):
    """State of one job, rebuilt from the records of the job stream.

    Parameters
    ----------
    job
        The job as submitted.
    region
        Region whose owner schedules the job.
    state
        Current state.
    attempt
        Number of the newest attempt; 0 before the first.
    token
        Fencing token of the owner that placed the newest attempt.
    workers
        Workers of the newest attempt.
    placed_at_s
        When the newest attempt was placed, by the log's clock, in seconds since the epoch.
    closing
        Whether the newest attempt was abandoned while some of its tasks may still run.
    checkpoints
        Newest checkpoint of each task, in the order of the tasks; empty without checkpoints.
    cancelled
        Whether the customer cancelled the job.
    history
        The decisions on the job, one sentence each, oldest first.
    ended_at_s
        When the job ended, by the log's clock, in seconds since the epoch; `None` before that.
    """

    job: JobRequest
    region: str = ""
    state: JobState = JobState.WAITING
    attempt: int = 0
    token: int = 0
    workers: tuple[str, ...] = ()
    placed_at_s: float = 0.0
    closing: bool = False
    checkpoints: tuple[str, ...] = ()
    cancelled: bool = False
    history: list[str] = []
    ended_at_s: float | None = None

    @property
    def ended(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in ENDED_STATES

    @property
    def has_open_attempt(self) -> bool:
        """Whether tasks of the newest attempt may be running."""
        return self.state in (JobState.STARTING, JobState.RUNNING)

    @property
    def why(self) -> str:
        """The newest decision on the job, in one sentence."""
        return self.history[-1]

    def add_explanation(self, sentence: str) -> None:
        """Append a sentence to the history, unless it repeats the previous one."""
        if not self.history or self.history[-1] != sentence:
            self.history.append(sentence)
        del self.history[:-HISTORY_LIMIT]

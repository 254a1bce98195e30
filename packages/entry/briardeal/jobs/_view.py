"""One job as the log tells it."""

from __future__ import annotations

import msgspec

from briardeal_core.jobs import JobRequest, JobState

HISTORY_LIMIT = 32
ENDED = {JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.REFUSED}


class JobView(msgspec.Struct, kw_only=True):
    """One job as the log tells it.

    Parameters
    ----------
    job
        The job as declared.
    region
        Region whose owner decides on it.
    state
        Where it stands.
    attempt
        Number of its last start; 0 before the first.
    token
        Fencing token of the owner that decided on the last start.
    workers
        Workers of the last start.
    placed_at_s
        When the last start was decided, by the log's clock, in seconds since the epoch.
    closing
        Whether the last start is over while some of its tasks may still run.
    checkpoints
        Newest checkpoint of each task, in the order of the tasks; empty where there is none.
    cancelled
        Whether its customer wants it no more.
    history
        What was decided on it, a sentence each, oldest first.
    ended_at_s
        When it ended, by the log's clock, in seconds since the epoch; `None` before.
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
        """Whether the job has come to its end."""
        return self.state in ENDED

    @property
    def open(self) -> bool:
        """Whether tasks of the last start may run."""
        return self.state in (JobState.STARTING, JobState.RUNNING)

    @property
    def why(self) -> str:
        """The last decision in a sentence."""
        return self.history[-1]

    def tell(self, sentence: str) -> None:
        """Add a sentence to the history, unless it says the same again."""
        if not self.history or self.history[-1] != sentence:
            self.history.append(sentence)
        del self.history[:-HISTORY_LIMIT]

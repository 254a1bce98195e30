"""Data model of jobs and workers that all processes share."""

from briardeal_core.jobs._model import JobRequest, JobState, WorkerShape
from briardeal_core.jobs._preemption import EARLIER_LOSS_FACTOR

__all__ = ["EARLIER_LOSS_FACTOR", "JobRequest", "JobState", "WorkerShape"]

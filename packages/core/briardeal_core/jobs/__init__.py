"""Data model of jobs and workers that all processes share."""

from briardeal_core.jobs._model import JobRequest, JobState, WorkerShape

__all__ = ["JobRequest", "JobState", "WorkerShape"]

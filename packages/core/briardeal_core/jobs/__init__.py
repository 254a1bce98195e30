"""Jobs, workers and the states of a job, as every process knows them."""

from briardeal_core.jobs._model import JobRequest, JobState, WorkerShape

__all__ = ["JobRequest", "JobState", "WorkerShape"]

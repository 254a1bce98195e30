"""What is kept of jobs, and the state of each that follows from it."""

from briardeal_workflow.book._book import JobState, JobStatus, JobTable
from briardeal_workflow.book._records import (
    Progress,
    cancel_key,
    encode_record,
    job_key,
    progress_key,
)

__all__ = [
    "JobStatus",
    "JobTable",
    "JobState",
    "Progress",
    "cancel_key",
    "encode_record",
    "job_key",
    "progress_key",
]

"""What is kept of jobs, and the state of each that follows from it."""

from briardeal_workflow.book._book import Entry, JobBook, JobState
from briardeal_workflow.book._records import (
    Progress,
    cancel_key,
    encode_record,
    job_key,
    progress_key,
)

__all__ = [
    "Entry",
    "JobBook",
    "JobState",
    "Progress",
    "cancel_key",
    "encode_record",
    "job_key",
    "progress_key",
]

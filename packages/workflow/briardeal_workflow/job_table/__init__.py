"""Stored records of jobs, and the state of each job derived from them."""

from briardeal_workflow.job_table._job_table import JobState, JobStatus, JobTable
from briardeal_workflow.job_table._records import (
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

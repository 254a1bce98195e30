"""Jobs: acceptance through the log, gangs of tasks on agents, and their outcomes."""

from briardeal.jobs._attempt import RESTART_WAIT_S
from briardeal.jobs._first_fit import FirstFitScheduler
from briardeal.jobs._gang_state import LOST_GRACE_S
from briardeal.jobs._job_scheduler import JobScheduler
from briardeal.jobs._job_table import JobTable
from briardeal.jobs._records import JOB_SCHEMA, JOB_STREAM, JobAccepted, JobPlaced
from briardeal.jobs._service import JobService
from briardeal.jobs._view import JobView

__all__ = [
    "JOB_SCHEMA",
    "JOB_STREAM",
    "LOST_GRACE_S",
    "RESTART_WAIT_S",
    "JobScheduler",
    "FirstFitScheduler",
    "JobAccepted",
    "JobTable",
    "JobPlaced",
    "JobService",
    "JobView",
]

"""Jobs: acceptance through the log, gangs on agents, and what became of each."""

from briardeal.jobs._board import JobBoard, JobView
from briardeal.jobs._gangs import Gangs
from briardeal.jobs._records import JobAccepted, JobEnded, JobPlaced, JobRecord
from briardeal.jobs._service import JobService

__all__ = [
    "Gangs",
    "JobAccepted",
    "JobBoard",
    "JobEnded",
    "JobPlaced",
    "JobRecord",
    "JobService",
    "JobView",
]

"""Jobs that have not finished, and the order in which they are scheduled."""

from briardeal_scheduling.queue._job import Job, JobPhase, Reservation
from briardeal_scheduling.queue._order import due_s, order_key
from briardeal_scheduling.queue._table import JobTable

__all__ = ["Reservation", "Job", "JobPhase", "JobTable", "due_s", "order_key"]

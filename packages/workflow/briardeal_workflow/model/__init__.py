"""Jobs, their tasks, and what operators have configured for them."""

from briardeal_workflow.model._configuration import Configuration, Customer, Queue, Service
from briardeal_workflow.model._job import Job, Step, find_mistake
from briardeal_workflow.model._task import GroupId, TaskId

__all__ = [
    "Customer",
    "Configuration",
    "GroupId",
    "Job",
    "Queue",
    "Service",
    "Step",
    "TaskId",
    "find_mistake",
]

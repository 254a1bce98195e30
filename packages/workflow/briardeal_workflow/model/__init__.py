"""Data model: jobs, tasks, and the operators' configuration."""

from briardeal_workflow.model._configuration import (
    Configuration,
    Customer,
    Queue,
    Service,
    reject_outdated,
)
from briardeal_workflow.model._job import (
    ACCELERATOR_CORES,
    Job,
    JobTerms,
    Step,
    find_validation_error,
)
from briardeal_workflow.model._overload import OverloadPolicy
from briardeal_workflow.model._task import TaskGroupId, TaskId
from briardeal_workflow.model._timing import PlannerTiming

__all__ = [
    "ACCELERATOR_CORES",
    "Customer",
    "Configuration",
    "TaskGroupId",
    "Job",
    "JobTerms",
    "OverloadPolicy",
    "PlannerTiming",
    "Queue",
    "Service",
    "Step",
    "TaskId",
    "find_validation_error",
    "reject_outdated",
]

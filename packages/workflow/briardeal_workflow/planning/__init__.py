"""Planner that decides which task runs where and when, without any I/O."""

from briardeal_workflow.planning._active_jobs import ActiveJob
from briardeal_workflow.planning._attempts import Attempt, AttemptOutcome, AttemptPhase
from briardeal_workflow.planning._crashes import Crash
from briardeal_workflow.planning._fair_order import FairOrder
from briardeal_workflow.planning._job_order import JobOrder, LeastWorkFirst
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._orders import Order, StartTask, StopTask
from briardeal_workflow.planning._planner import Planner
from briardeal_workflow.planning._running_task import RunningTask
from briardeal_workflow.planning._state import PlannerState
from briardeal_workflow.planning._vms import Resources, Vm, VmDescription

__all__ = [
    "ActiveJob",
    "Attempt",
    "AttemptOutcome",
    "AttemptPhase",
    "Crash",
    "FairOrder",
    "JobOrder",
    "LeastWorkFirst",
    "LossCause",
    "Order",
    "Planner",
    "PlannerState",
    "Resources",
    "RunningTask",
    "StartTask",
    "StopTask",
    "Vm",
    "VmDescription",
]

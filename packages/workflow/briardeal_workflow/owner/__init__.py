"""The control server of an entry, and the owner that schedules jobs."""

from briardeal_workflow.owner._control_server import ControlServer
from briardeal_workflow.owner._owner import JOBS_TOPIC, Owner
from briardeal_workflow.owner._planning_progress import PlanningProgress
from briardeal_workflow.owner._start_records import STARTS_TOPIC

__all__ = ["JOBS_TOPIC", "STARTS_TOPIC", "ControlServer", "Owner", "PlanningProgress"]

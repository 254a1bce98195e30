"""What entries tell agents, and the decisions of the owner carried out."""

from briardeal_workflow.owner._control_server import ControlServer
from briardeal_workflow.owner._owner import JOBS_TOPIC, Owner

__all__ = ["JOBS_TOPIC", "ControlServer", "Owner"]

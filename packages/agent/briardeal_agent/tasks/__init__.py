"""Members of gangs on the agent's worker."""

from briardeal_agent.tasks._member import GANG_BOUND_S, MEMBER_TTL_S, START_TTL_S, TASK_LEASE_S
from briardeal_agent.tasks._reports import Reports
from briardeal_agent.tasks._table import TaskTable

__all__ = ["GANG_BOUND_S", "MEMBER_TTL_S", "START_TTL_S", "TASK_LEASE_S", "Reports", "TaskTable"]

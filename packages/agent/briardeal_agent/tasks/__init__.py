"""Members of gangs on the agent's worker."""

from briardeal_agent.tasks._member import (
    MEMBER_TTL_S,
    PARTIAL_GANG_LIMIT_S,
    START_TTL_S,
    TASK_LEASE_S,
)
from briardeal_agent.tasks._reports import TaskReporter
from briardeal_agent.tasks._table import TaskTable

__all__ = [
    "MEMBER_TTL_S",
    "PARTIAL_GANG_LIMIT_S",
    "START_TTL_S",
    "TASK_LEASE_S",
    "TaskReporter",
    "TaskTable",
]

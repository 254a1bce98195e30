"""Members of gangs on the agent's worker."""

from briardeal_agent.tasks._table import TaskTable

__all__ = ["TaskTable"]

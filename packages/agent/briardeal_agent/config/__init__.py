"""Settings of the agent."""

from briardeal_agent.config._settings import AgentSettings

__all__ = ["AgentSettings"]

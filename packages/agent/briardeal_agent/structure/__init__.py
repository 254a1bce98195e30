"""The agent service."""

from briardeal_agent.structure._agent import Agent

__all__ = ["Agent"]

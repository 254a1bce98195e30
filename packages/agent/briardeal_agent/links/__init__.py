"""Connections from the agent to the entries."""

from briardeal_agent.links._entry import EntryLink

__all__ = ["EntryLink"]

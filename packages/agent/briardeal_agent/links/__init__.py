"""Connections from the agent to the entries."""

from briardeal_agent.links._entry import EntryLink
from briardeal_agent.links._links import EntryLinks

__all__ = ["EntryLink", "EntryLinks"]

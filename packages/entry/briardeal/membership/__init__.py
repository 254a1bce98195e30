"""Table of live agents, as soft state with leases and incarnations."""

from briardeal.membership._listener import AgentListener
from briardeal.membership._table import AgentEntry, AgentTable

__all__ = ["AgentEntry", "AgentListener", "AgentTable"]

"""Records of the owner and of entries in the control topic."""

from __future__ import annotations

import msgspec

CONTROL_TOPIC = "control"
OWNER_KEY = "owner"
ENTRY_PREFIX = "entry/"


class ListedAgent(msgspec.Struct, frozen=True, array_like=True):
    """Agent that an owner may have sent orders to.

    Parameters
    ----------
    epoch
        Highest fencing token under which the lease of the agent may have been extended.
    waited_s
        Time since an owner with a higher token had fenced the log, in seconds, when the record was
        written; `None` if no owner had.
    """

    epoch: int
    waited_s: float | None = None


class OwnerRecord(msgspec.Struct, frozen=True):
    """Claim of the ownership of all jobs.

    Parameters
    ----------
    epoch
        Fencing token; rises with each claim.
    entry_id, incarnation, address
        Name of the owner, identifier of this run of its process, and its control address.
    agents
        Agents that the owner may have sent orders to.
    settled
        Whether the owner knows all tasks that earlier owners may have started.
    starts_recorded
        Whether each start that may still have an effect is recorded. An owner of an earlier version
        records none.
    listed_agents
        State of each of the `agents`, in the same order; empty in the record of an earlier version.
    """

    epoch: int
    entry_id: str
    incarnation: str
    address: str
    agents: tuple[str, ...] = ()
    settled: bool = False
    starts_recorded: bool = False
    listed_agents: tuple[ListedAgent, ...] = ()

    def find_agents(self) -> dict[str, ListedAgent]:
        """Return the state of each agent; without it, any lease may have been extended last."""
        if len(self.listed_agents) != len(self.agents):
            return dict.fromkeys(self.agents, ListedAgent(self.epoch))
        return dict(zip(self.agents, self.listed_agents, strict=True))


class EntryRecord(msgspec.Struct, frozen=True):
    """Control address of an entry, for agents and other entries."""

    address: str


def entry_key(entry_id: str) -> str:
    """Return the key of the record with the address of an entry."""
    return f"{ENTRY_PREFIX}{entry_id}"

"""Records of the owner and of entries in the control topic."""

from __future__ import annotations

import msgspec

CONTROL_TOPIC = "control"
OWNER_KEY = "owner"
ENTRY_PREFIX = "entry/"


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
    """

    epoch: int
    entry_id: str
    incarnation: str
    address: str
    agents: tuple[str, ...] = ()
    settled: bool = False
    starts_recorded: bool = False


class EntryRecord(msgspec.Struct, frozen=True):
    """Control address of an entry, for agents and other entries."""

    address: str


def entry_key(entry_id: str) -> str:
    """Return the key of the record with the address of an entry."""
    return f"{ENTRY_PREFIX}{entry_id}"

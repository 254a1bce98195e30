"""Records of entries and of the owner."""

from __future__ import annotations

import msgspec

CONTROL_TOPIC = "control"
OWNER_KEY = "owner"
ENTRY_PREFIX = "entry/"


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who owns the jobs.

    Parameters
    ----------
    epoch
        Fencing token; rises with each claim.
    entry_id, incarnation, address
        The owner, its start, and its control address.
    agents
        Agents that it may have given orders to.
    """

    epoch: int
    entry_id: str
    incarnation: str
    address: str
    agents: tuple[str, ...] = ()


class EntryRecord(msgspec.Struct, frozen=True):
    """Where an entry is reached by agents and other entries."""

    address: str


def entry_key(entry_id: str) -> str:
    """Return the key under which the address of an entry is kept."""
    return f"{ENTRY_PREFIX}{entry_id}"

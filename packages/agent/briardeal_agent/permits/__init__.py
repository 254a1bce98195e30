"""Permits for requests to the endpoint, shared by all entries."""

from briardeal_agent.permits._permits import (
    GRACE_S,
    QUARANTINE_S,
    START_WITHIN_S,
    Permit,
    PermitTable,
)
from briardeal_agent.permits._shares import SlotShares

__all__ = ["GRACE_S", "QUARANTINE_S", "START_WITHIN_S", "Permit", "PermitTable", "SlotShares"]

"""Election of the entry that owns a region and may start its jobs."""

from briardeal.jobs.ownership._owner_history import OwnerClaim, OwnerHistory
from briardeal.jobs.ownership._ownership import (
    CONFIRM_TTL_S,
    LEASE_TTL_S,
    MARGIN_S,
    OUTAGE_LIMIT_S,
    READ_LOST_S,
    RENEW_INTERVAL_S,
    LeaseState,
    Ownership,
)
from briardeal.jobs.ownership._peer_log_states import NoPeers, PeerLogState, PeerLogStates
from briardeal.jobs.ownership._records import (
    OWNER_SCHEMA,
    OwnerClaimed,
    OwnerReleased,
    OwnerRenewed,
    owner_stream,
)

__all__ = [
    "CONFIRM_TTL_S",
    "LEASE_TTL_S",
    "MARGIN_S",
    "OUTAGE_LIMIT_S",
    "OWNER_SCHEMA",
    "READ_LOST_S",
    "RENEW_INTERVAL_S",
    "NoPeers",
    "OwnerClaimed",
    "OwnerReleased",
    "OwnerRenewed",
    "OwnerHistory",
    "Ownership",
    "PeerLogState",
    "PeerLogStates",
    "OwnerClaim",
    "LeaseState",
    "owner_stream",
]

"""Election of the entry that owns the jobs, and failure detection of the owner."""

from briardeal_workflow.leadership._agent_reach import HeardAgents
from briardeal_workflow.leadership._election import MAX_STORE_FAILURE_S, Election
from briardeal_workflow.leadership._records import (
    CONTROL_TOPIC,
    EntryRecord,
    ListedAgent,
    OwnerRecord,
    entry_key,
)
from briardeal_workflow.leadership._watch import OWNER_HEARTBEAT_INTERVAL_S, OwnerWatch

__all__ = [
    "CONTROL_TOPIC",
    "MAX_STORE_FAILURE_S",
    "OWNER_HEARTBEAT_INTERVAL_S",
    "Election",
    "EntryRecord",
    "HeardAgents",
    "ListedAgent",
    "OwnerRecord",
    "OwnerWatch",
    "entry_key",
]

"""Messages between entries and the agents of their VMs, and between entries."""

from briardeal_workflow.control._codec import CONTROL_CODEC, ControlMessage
from briardeal_workflow.control._messages import (
    Acknowledge,
    AgentHello,
    EndedTask,
    EntryHello,
    Heartbeat,
    ListedTask,
    OwnerAnnouncement,
    OwnerHeartbeat,
    StartOrder,
    StartOutcome,
    StartResult,
    StopOrder,
    VmReport,
    VmState,
    WatchRequest,
)
from briardeal_workflow.control._relay import (
    RelayAnswer,
    RelayAppend,
    RelayHello,
    RelayList,
    RelayRead,
)

__all__ = [
    "CONTROL_CODEC",
    "Acknowledge",
    "AgentHello",
    "Heartbeat",
    "ControlMessage",
    "EndedTask",
    "EntryHello",
    "WatchRequest",
    "OwnerAnnouncement",
    "ListedTask",
    "OwnerHeartbeat",
    "RelayAnswer",
    "RelayAppend",
    "RelayHello",
    "RelayList",
    "RelayRead",
    "VmReport",
    "StartResult",
    "StartOutcome",
    "StartOrder",
    "StopOrder",
    "VmState",
]

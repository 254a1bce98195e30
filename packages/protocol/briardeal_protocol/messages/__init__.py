"""Typed messages of the protocol between agents and entries."""

from briardeal_protocol.messages._agent import (
    Admitted,
    AgentHello,
    AgentLeaving,
    EndpointState,
    Heartbeat,
    NotAdmitted,
    Tasks,
    TaskState,
    TaskStatus,
    WorkerState,
)
from briardeal_protocol.messages._codec import AgentMessage, EntryMessage, Message, decode, encode
from briardeal_protocol.messages._entry import (
    Admit,
    EntryHello,
    HeartbeatAck,
    Release,
    ReserveTask,
    StartTask,
    StopMode,
    StopTask,
)

__all__ = [
    "Admit",
    "Admitted",
    "AgentHello",
    "AgentLeaving",
    "AgentMessage",
    "EndpointState",
    "EntryHello",
    "EntryMessage",
    "Heartbeat",
    "HeartbeatAck",
    "Message",
    "NotAdmitted",
    "Release",
    "ReserveTask",
    "StartTask",
    "StopMode",
    "StopTask",
    "TaskState",
    "TaskStatus",
    "Tasks",
    "WorkerState",
    "decode",
    "encode",
]

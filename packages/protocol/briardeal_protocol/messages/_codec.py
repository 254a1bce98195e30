"""Encoding of messages as lines of JSON."""

from __future__ import annotations

import msgspec

from briardeal_protocol.messages import _agent, _entry

AgentMessage = (
    _agent.AgentHello
    | _agent.Heartbeat
    | _agent.AgentLeaving
    | _agent.Admitted
    | _agent.NotAdmitted
    | _agent.Tasks
)
"""Any message from an agent to an entry."""

EntryMessage = (
    _entry.EntryHello
    | _entry.HeartbeatAck
    | _entry.Admit
    | _entry.Release
    | _entry.ReserveTask
    | _entry.StartTask
    | _entry.StopTask
    | _entry.TakeInventory
    | _entry.GangsWhole
)
"""Any message from an entry to an agent."""

Message = AgentMessage | EntryMessage
"""Any message between an agent and an entry."""

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as one line of JSON, with the line feed."""
    return _encoder.encode(message) + b"\n"


def decode(line: bytes) -> Message | None:
    """Return the message on a line, or `None` if it is malformed or of an unknown type."""
    try:
        return _decoder.decode(line)
    except msgspec.DecodeError:
        return None

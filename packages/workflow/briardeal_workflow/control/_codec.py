"""Encoding of control messages as lines of JSON."""

from __future__ import annotations

import msgspec

from briardeal_workflow.control import _messages as messages
from briardeal_workflow.control import _relay as relay

ControlMessage = (
    messages.AgentHello
    | messages.Heartbeat
    | messages.VmReport
    | messages.StartResult
    | messages.EntryHello
    | messages.OwnerAnnouncement
    | messages.Acknowledge
    | messages.StartOrder
    | messages.StopOrder
    | messages.WatchRequest
    | messages.OwnerHeartbeat
    | relay.RelayHello
    | relay.RelayAppend
    | relay.RelayRead
    | relay.RelayList
    | relay.RelayCancel
    | relay.RelayPart
    | relay.RelayAnswer
)
"""Any control message."""


class ControlCodec:
    """Codec of control messages, one line of JSON each."""

    def __init__(self) -> None:
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(ControlMessage)

    def encode(self, message: ControlMessage) -> bytes:
        """Return a message as one line."""
        return self._encoder.encode(message) + b"\n"

    def decode(self, line: bytes) -> ControlMessage | None:
        """Return the message on a line, or `None` if this version can't decode it."""
        try:
            return self._decoder.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return None


CONTROL_CODEC = ControlCodec()
"""The codec of all control connections."""

"""Encoding of messages between entries as MessagePack."""

from __future__ import annotations

import msgspec

from briardeal_protocol.peers import _messages

PeerMessage = (
    _messages.PeerHello
    | _messages.PeerHeartbeat
    | _messages.PeerLeaving
    | _messages.Members
    | _messages.StateUpdate
    | _messages.Resync
    | _messages.ConfigurationRequest
    | _messages.ConfigurationOffer
    | _messages.Forward
    | _messages.Forwarded
    | _messages.ForwardRefused
    | _messages.Fragment
)
"""Any message between entries."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> PeerMessage | None:
    """Return the decoded message, or `None` if it is malformed or of an unknown type."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None

"""The encoding of messages on a connection."""

from __future__ import annotations

from typing import Any, Protocol

from briardeal_protocol import messages


class Codec(Protocol):
    """Encodes messages as lines and decodes them."""

    def encode(self, message: Any) -> bytes:
        """Return a message as one line, with the line feed."""

    def decode(self, line: bytes) -> Any | None:
        """Return the message on a line, or `None` if it can't be decoded."""


JSON_LINES: Codec = messages
"""Codec for the messages between agents and entries, as lines of JSON."""

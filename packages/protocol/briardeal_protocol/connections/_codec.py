"""How messages are written on a connection."""

from __future__ import annotations

from typing import Any, Protocol

from briardeal_protocol import messages


class Codec(Protocol):
    """Turns messages into lines and back."""

    def encode(self, message: Any) -> bytes:
        """Return a message as one line."""

    def decode(self, line: bytes) -> Any | None:
        """Return the message on a line, or `None` for one that is not known."""


JSON_LINES: Codec = messages
"""The messages of this package, as lines of JSON."""

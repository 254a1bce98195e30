"""Limits of a request, and what is refused because of them."""

from __future__ import annotations

import enum

import msgspec


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of the requests to one listener.

    Parameters
    ----------
    max_header_bytes
        Maximum size of the request line and the header fields.
    max_body_bytes
        Maximum size of a request body; the default is agreed with callers.
    header_timeout_s
        Maximum time from the first byte of a request to the end of its header fields, in seconds.
    body_timeout_s
        Maximum time from the first to the last byte of a request, in seconds.
    idle_timeout_s
        Maximum time until the next request begins on an open connection, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0


class Refused(enum.Enum):
    """Reason for which a request is refused before it is read to its end, with the HTTP status.

    The reasons are values of the label `reason` of metrics.
    """

    BODY_TOO_LARGE = ("body_too_large", 413)
    HEADERS_TOO_LARGE = ("headers_too_large", 431)
    TOO_SLOW = ("too_slow", 408)
    TOO_MANY = ("too_many", 503)
    MALFORMED = ("malformed", 400)

    def __init__(self, code: str, status: int) -> None:
        self.code = code
        self.status = status

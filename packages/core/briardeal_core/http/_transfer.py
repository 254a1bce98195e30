"""Deadline of a response that is extended while the response arrives."""

from __future__ import annotations

STALL_S = 1.0
"""Time without a byte after which the rest of a response is not waited for."""

MIN_BYTES_PER_S = 16_384
"""Average rate below which a response is not waited for."""


class TransferDeadline:
    """Decides how long a client waits for the rest of a response.

    Answers responses of any size over links of any rate, and servers that fall silent: a response
    has to begin within a fixed time. After that it may take as long as bytes arrive at
    `MIN_BYTES_PER_S` on average and no pause between them reaches `STALL_S`. A limit on the whole
    transfer would fail each repetition of a response that needs longer.

    Parameters
    ----------
    began_s
        When the request was sent, in seconds on any clock.
    timeout_s
        Time until the response has to begin, in seconds.

    Attributes
    ----------
    end_s
        When the client gives up, on the same clock.
    """

    def __init__(self, began_s: float, timeout_s: float) -> None:
        self.first_end_s = began_s + timeout_s
        self.end_s = self.first_end_s
        self._received_bytes = 0

    def record(self, received_bytes: int, now_s: float) -> float:
        """Record a part of the response, and return when the client gives up now."""
        self._received_bytes += received_bytes
        slowest_end_s = self.first_end_s + self._received_bytes / MIN_BYTES_PER_S
        self.end_s = max(self.first_end_s, min(now_s + STALL_S, slowest_end_s))
        return self.end_s

"""Limit on retries, as a share of requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries that each request adds to the budget, as a fraction of one retry."""

RETRIES_MAX = 10.0
"""Most retries that the budget can hold."""


class RetryBudget:
    """A token bucket that requests fill and retries drain."""

    def __init__(self) -> None:
        self.retries = RETRIES_MAX

    def add_request(self) -> None:
        """Add `RETRY_SHARE` of a retry, up to `RETRIES_MAX`."""
        self.retries = min(RETRIES_MAX, self.retries + RETRY_SHARE)

    def consume_retry(self) -> bool:
        """Consume one retry; return `False` if the budget is spent."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True

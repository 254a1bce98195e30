"""A limit on retries as a share of requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries that each request adds to the budget."""

RETRIES_MAX = 10.0
"""Most retries that can be saved up."""


class RetryBudget:
    """A token bucket that requests fill and retries empty."""

    def __init__(self) -> None:
        self.retries = RETRIES_MAX

    def add_request(self) -> None:
        """Add the share of one request."""
        self.retries = min(RETRIES_MAX, self.retries + RETRY_SHARE)

    def take_retry(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True

"""Requests of callers and answers of endpoints."""

from __future__ import annotations

from dataclasses import dataclass

import attrs

SERVER_ERROR_STATUS = 500


@attrs.frozen
class Request:
    """A request that a caller sent.

    Parameters
    ----------
    service
        Service that the request is for.
    customer
        Customer that sent the request.
    body
        Content.
    content_type
        Type of the content, with its parameters.
    deadline_s
        When the caller stops waiting, on the event loop's clock.
    idempotent
        Whether the request may run more than once.
    key
        Idempotency key; empty if there is none.
    """

    service: str
    customer: str
    body: bytes
    content_type: str
    deadline_s: float
    idempotent: bool = True
    key: str = ""


@dataclass(frozen=True)
class Answer:
    """A complete answer from an endpoint.

    Parameters
    ----------
    status
        HTTP status.
    body
        Content.
    content_type
        Type of the content, with its parameters.
    """

    status: int
    body: bytes
    content_type: str

    @property
    def failed(self) -> bool:
        """Whether the status is a server error."""
        return self.status >= SERVER_ERROR_STATUS

"""A caller's request, its answer and what is told where there is none."""

from __future__ import annotations

from dataclasses import dataclass

import attrs

SERVER_ERROR_STATUS = 500


@attrs.frozen
class Request:
    """A request as it came from a caller.

    Parameters
    ----------
    service
        Service that it is for.
    customer
        Customer that sent it.
    body
        Content.
    content_type
        Type of the content, with its parameters.
    deadline_s
        When the caller gives up, on the loop's clock.
    idempotent
        Whether it may run more than once.
    key
        Idempotency key; empty where there is none.
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
    """A whole answer of an endpoint.

    Parameters
    ----------
    status
        HTTP status.
    body
        Content, whole.
    content_type
        Type of the content, with its parameters.
    """

    status: int
    body: bytes
    content_type: str

    @property
    def failed(self) -> bool:
        """Whether the endpoint says that it could not do the work."""
        return self.status >= SERVER_ERROR_STATUS

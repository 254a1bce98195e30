"""A caller's request and its answer."""

from __future__ import annotations

from dataclasses import dataclass

import attrs


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
        Type of the content.
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
        Type of the content.
    """

    status: int
    body: bytes
    content_type: str

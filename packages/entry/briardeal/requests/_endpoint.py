"""Requests to endpoints, and the outcomes of sending them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from briardeal.requests._request import Answer, Request


@attrs.frozen
class Dispatch:
    """One request to be sent to one endpoint.

    Parameters
    ----------
    address
        `IP:PORT` of the endpoint.
    incarnation
        Incarnation of the endpoint that may run the request; any other must decline it.
    permit_id
        Identifier of the permit, which the endpoint reports to its agent.
    request
        Request to send.
    start_by_s
        Time before which the request must be sent, on the event loop's clock.
    """

    address: str
    incarnation: int
    permit_id: str
    request: Request
    start_by_s: float


@dataclass(frozen=True)
class NotRun:
    """The request certainly did not run.

    Parameters
    ----------
    detail
        Cause, for messages to people.
    late
        Whether this entry did not send the request because it was too late.
    declined
        Whether the endpoint declined to run the request, or was replaced before it was sent.
    """

    detail: str
    late: bool = False
    declined: bool = False


@dataclass(frozen=True)
class NoCompleteAnswer:
    """The request was sent, but no complete answer arrived; it may have run.

    Parameters
    ----------
    detail
        Cause, for messages to people.
    cut
        Whether the answer had begun to arrive.
    timed_out
        Whether the deadline of the request passed.
    """

    detail: str
    cut: bool = False
    timed_out: bool = False


class EndpointClient(Protocol):
    """Sends requests to endpoints."""

    async def send(self, dispatch: Dispatch) -> Answer | NotRun | NoCompleteAnswer:
        """Send a request and wait for the complete answer until the request's deadline."""

"""Requests of callers, carried to endpoints."""

from briardeal.requests._endpoint import EndpointClient, HttpEndpointClient, NotSent, SentInVain
from briardeal.requests._keys import IssuedKey, Keys
from briardeal.requests._request import Answer, Request
from briardeal.requests._router import Router

__all__ = [
    "Answer",
    "EndpointClient",
    "HttpEndpointClient",
    "IssuedKey",
    "Keys",
    "NotSent",
    "Request",
    "Router",
    "SentInVain",
]

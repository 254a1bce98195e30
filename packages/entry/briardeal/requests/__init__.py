"""Routing of callers' requests to endpoints, with admission, retries and idempotency keys."""

from briardeal.requests._admission import AdmissionClient
from briardeal.requests._chooser import EndpointChooser, RegionalChooser, endpoint_name
from briardeal.requests._endpoint import Dispatch, EndpointClient, NoCompleteAnswer, NotRun
from briardeal.requests._endpoint_health import EndpointHealth, HealthState
from briardeal.requests._http import HttpEndpointClient
from briardeal.requests._key_store import KeyStore
from briardeal.requests._keys import KEY_TTL_S, IdempotencyKey, IdempotencyKeys
from briardeal.requests._request import Answer, Request
from briardeal.requests._router import Router

__all__ = [
    "KEY_TTL_S",
    "AdmissionClient",
    "Answer",
    "EndpointChooser",
    "Dispatch",
    "EndpointClient",
    "EndpointHealth",
    "HttpEndpointClient",
    "IdempotencyKey",
    "KeyStore",
    "IdempotencyKeys",
    "NotRun",
    "RegionalChooser",
    "Request",
    "Router",
    "NoCompleteAnswer",
    "HealthState",
    "endpoint_name",
]

"""Refusals of HTTP requests that match no route or raise an unhandled exception."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from briardeal.api._replies import reply_refusal
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Middleware

    from briardeal_core.metrics import Metrics

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def create_failure_middleware(metrics: Metrics) -> Middleware:
    """Return a middleware that turns every exception into a refusal with a reason."""

    @web.middleware
    async def refuse_failures(http: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(http)
        except web.HTTPException as error:
            refusal = Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, detail=f"{error.reason}.")
            response = reply_refusal(refusal)
            response.set_status(error.status)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, path=http.path, error=repr(error))
            refusal = Refusal(Reason.INTERNAL_ERROR, RunState.UNKNOWN)
            response = reply_refusal(refusal)
        metrics.count_refusal(refusal.reason)
        return response

    return refuse_failures

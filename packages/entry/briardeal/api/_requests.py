"""Routes for requests of callers and their idempotency keys."""

from __future__ import annotations

import math

import msgspec
from aiohttp import hdrs, web

from briardeal.api._replies import reply_json, reply_refusal
from briardeal.api._routes import Routes
from briardeal.requests import Answer, Request
from briardeal_core.clock import loop_time
from briardeal_core.reasons import Reason, Refusal, RunState

DEFAULT_CONTENT_TYPE = "application/octet-stream"


class KeyBody(msgspec.Struct, frozen=True):
    """Body of the response with a new idempotency key."""

    key: str


class RequestRoutes(Routes):
    """Routes for callers."""

    def definitions(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.post("/v1/keys", self.issue_key),
            web.post("/v1/services/{service}/requests", self.send),
        ]

    async def issue_key(self, http: web.Request) -> web.Response:
        """Issue an idempotency key."""
        return reply_json(KeyBody(str(self.entry.keys.issue())), 201)

    async def send(self, http: web.Request) -> web.Response:
        """Send a request to an endpoint and return its complete answer."""
        request = await self._read_request(http)
        if isinstance(request, Refusal):
            return self.refuse(request)
        outcome = await self.entry.handle(request)
        answered = isinstance(outcome, Answer)
        response = _reply_answer(outcome) if answered else reply_refusal(outcome)
        if not self.entry.ready:
            # The entry is shutting down: the caller's next request must not fail on a kept-alive
            # connection that is about to be closed.
            response.force_close()
        return response

    async def _read_request(self, http: web.Request) -> Request | Refusal:
        body = await http.read()
        timeout_s = _parse_timeout(http.headers.get("Briardeal-Timeout-S"))
        if timeout_s is None:
            timeout_s = self.entry.settings.request_timeout_s
        if timeout_s <= 0:
            detail = "Briardeal-Timeout-S must be a number of seconds greater than 0."
            return Refusal(Reason.REQUEST_INVALID, RunState.NOT_RUN, None, detail)
        return Request(
            service=http.match_info["service"],
            customer=http.headers.get("Briardeal-Customer", ""),
            body=body,
            content_type=http.headers.get(hdrs.CONTENT_TYPE, DEFAULT_CONTENT_TYPE),
            deadline_s=loop_time() + timeout_s,
            idempotent=http.headers.get("Briardeal-Idempotent", "true").lower() != "false",
            key=http.headers.get("Idempotency-Key", ""),
        )


def _reply_answer(answer: Answer) -> web.Response:
    headers = {hdrs.CONTENT_TYPE: answer.content_type or DEFAULT_CONTENT_TYPE}
    return web.Response(body=answer.body, status=answer.status, headers=headers)


def _parse_timeout(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        timeout_s = float(text)
    except ValueError:
        return -1.0
    return timeout_s if math.isfinite(timeout_s) else -1.0

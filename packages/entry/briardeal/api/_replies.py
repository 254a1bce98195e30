"""HTTP responses for outcomes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from briardeal_core.reasons import Reason

if TYPE_CHECKING:
    from briardeal_core.reasons import Refusal

STATUS_BY_REASON = {
    Reason.REQUEST_INVALID: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_NOT_ISSUED: 400,
    Reason.JOB_UNKNOWN: 404,
    Reason.CONFIGURATION_VERSION_UNKNOWN: 404,
    Reason.CONFIGURATION_CONFLICT: 409,
    Reason.KEY_IN_USE: 409,
    Reason.JOB_ENDED: 409,
    Reason.JOB_KEY_REUSED: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.KEY_ANSWER_DROPPED: 410,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_HOME_LOST: 410,
    Reason.CONFIGURATION_INVALID: 422,
    Reason.JOB_NEVER_FITS: 422,
    Reason.ENDPOINTS_BUSY: 429,
    Reason.INTERNAL_ERROR: 500,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ANSWER_CUT: 502,
    Reason.DEADLINE_PASSED: 504,
}
"""HTTP status for each reason; 503 for reasons not listed here."""


class RefusalBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every response that is not a success.

    Parameters
    ----------
    reason
        Code of the reason.
    message
        Explanation for people.
    run_state
        Whether the work ran: `not_run`, `ran` or `unknown`.
    retry_after_s
        Time after which to retry, in seconds; `None` if it is not known.
    """

    reason: str
    message: str
    run_state: str
    retry_after_s: float | None = None


def reply_json(value: object, status: int = 200) -> web.Response:
    """Return a response with a value as JSON."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


def reply_refusal(refusal: Refusal) -> web.Response:
    """Return the response for a refusal, with a `Retry-After` header if it has a retry time."""
    body = RefusalBody(
        reason=refusal.reason.code,
        message=refusal.sentence,
        run_state=refusal.run_state.value,
        retry_after_s=refusal.retry_after_s,
    )
    response = reply_json(body, STATUS_BY_REASON.get(refusal.reason, 503))
    if refusal.retry_after_s is not None:
        response.headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return response

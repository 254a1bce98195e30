"""Encoding of responses."""

from __future__ import annotations

import msgspec

from briardeal_core.http._limits import HttpLimits, Refused
from briardeal_core.http._messages import Reply

RETRY_AFTER_S = 1
"""Time after which a client that was refused for others may try again, in seconds."""

BODILESS_STATUSES = frozenset({204, 304})

CONTINUE = b"HTTP/1.1 100 \r\n\r\n"
"""Response to a client that waits before it sends a body."""


class _Refusal(msgspec.Struct):
    """Body of the response to a request that was not read to its end.

    The first four fields are those of other refusals: the request has not run and never will.
    """

    reason: str
    message: str
    run_state: str = "not_run"
    retry_after_s: int | None = None
    limit: str = ""
    limit_bytes: int = 0


def encode_reply(reply: Reply, *, head_only: bool, close: bool) -> bytes:
    """Return the bytes of a response; `head_only` leaves out the body, whose size is still told."""
    lines = [f"HTTP/1.1 {reply.status} \r\n"]
    bodiless = reply.status in BODILESS_STATUSES
    if not bodiless:
        lines.append(f"Content-Length: {len(reply.body)}\r\n")
    lines += [f"{name}: {value}\r\n" for name, value in reply.headers]
    if reply.body:
        lines.append(f"Content-Type: {reply.content_type}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append("\r\n")
    head = "".join(lines).encode("latin-1")
    return head if head_only or bodiless else head + reply.body


def encode_refusal(refused: Refused, limits: HttpLimits) -> bytes:
    """Return the response to a request that was not read to its end and has not run."""
    limit, limit_bytes = "", 0
    if refused is Refused.BODY_TOO_LARGE:
        limit, limit_bytes = "maxBodyBytes", limits.max_body_bytes
        message = f"The body is larger than {limit_bytes} bytes."
    elif refused is Refused.HEADERS_TOO_LARGE:
        limit, limit_bytes = "maxHeaderBytes", limits.max_header_bytes
        message = f"The header fields are larger than {limit_bytes} bytes."
    elif refused is Refused.TOO_SLOW:
        message = (
            f"The header fields must arrive within {limits.header_timeout_s:g} s and the request"
            f" within {limits.body_timeout_s:g} s."
        )
    elif refused is Refused.TOO_MANY:
        message = "Too many requests are being received."
    else:
        message = "The request is not well-formed HTTP/1.1."
    retry_after_s = RETRY_AFTER_S if refused is Refused.TOO_MANY else None
    headers = () if retry_after_s is None else (("Retry-After", str(retry_after_s)),)
    refusal = _Refusal(refused.code, message, "not_run", retry_after_s, limit, limit_bytes)
    body = msgspec.json.encode(refusal)
    reply = Reply(refused.status, body, headers=headers)
    return encode_reply(reply, head_only=False, close=True)

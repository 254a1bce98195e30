"""HTTP server of the stand-in log."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from aiohttp import web

from briardeal_core.log import Appended, LogUnavailable, PastRetention
from briardeal_core.log.client import (
    MSGPACK_TYPE,
    AppendedBody,
    BatchBody,
    PastRetentionBody,
)
from briardeal_standins.log._faults import Faults
from briardeal_standins.log._memory import MemoryLog

MAX_RECORD_BYTES = 1 << 20
"""Largest record that the log accepts."""

_LOG = web.AppKey("log", MemoryLog)


def create_application(log: MemoryLog) -> web.Application:
    """Return the HTTP application of a stand-in log.

    `POST` and `GET /streams/STREAM/records` append and read records; `PUT /faults` replaces the
    current faults by those of its JSON body.
    """
    application = web.Application(client_max_size=MAX_RECORD_BYTES)
    application[_LOG] = log
    application.router.add_post("/streams/{stream}/records", _append)
    application.router.add_get("/streams/{stream}/records", _read)
    application.router.add_put("/faults", _set_faults)
    return application


async def _append(request: web.Request) -> web.Response:
    record = await request.read()
    log = request.app[_LOG]
    outcome = await log.append(request.match_info["stream"], record, request.query["id"])
    if isinstance(outcome, Appended):
        return _encode_response(AppendedBody(outcome.offset, outcome.appended_at_s))
    if outcome.maybe_written and request.transport is not None:
        request.transport.abort()
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=outcome.detail)


async def _read(request: web.Request) -> web.Response:
    query = request.query
    try:
        offset, limit = int(query["offset"]), int(query["limit"])
        wait_s = float(query.get("wait", "0"))
    except (KeyError, ValueError) as error:
        return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
    log = request.app[_LOG]
    outcome = await log.read(request.match_info["stream"], offset, limit, wait_s)
    if isinstance(outcome, LogUnavailable):
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text=outcome.detail)
    if isinstance(outcome, PastRetention):
        body = PastRetentionBody(outcome.oldest_offset, outcome.end_offset)
        return _encode_response(body, HTTPStatus.GONE)
    return _encode_response(BatchBody(outcome.entries, outcome.next_offset, outcome.end_offset))


async def _set_faults(request: web.Request) -> web.Response:
    try:
        faults = msgspec.json.decode(await request.read(), type=Faults)
    except msgspec.MsgspecError as error:
        return web.Response(status=HTTPStatus.BAD_REQUEST, text=str(error))
    request.app[_LOG].faults = faults
    return web.Response(status=HTTPStatus.NO_CONTENT)


def _encode_response(body: msgspec.Struct, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    content = msgspec.msgpack.encode(body)
    return web.Response(status=status, body=content, content_type=MSGPACK_TYPE)

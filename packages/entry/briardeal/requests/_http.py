"""Requests to endpoints over HTTP."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from typing import TYPE_CHECKING

import aiohttp
import attrs
from aiohttp import hdrs

from briardeal.requests._endpoint import NoCompleteAnswer, NotRun
from briardeal.requests._request import Answer
from briardeal_core.clock import loop_time

if TYPE_CHECKING:
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from briardeal.requests._endpoint import Dispatch

REQUEST_PATH = "/v1/requests"
RUN_STATE_HEADER = "Briardeal-Run-State"
NOT_RUN = "not_run"
BODILESS_STATUSES = {204, 304}


class _TooLateError(Exception):
    """The connection was open only after the time for sending had passed."""


@attrs.define
class _Progress:
    """How far one dispatch has come."""

    start_by_s: float
    connected: bool = False
    answered: bool = False


_current: ContextVar[_Progress] = ContextVar("progress")
"""Progress of the dispatch of the running task."""


class _Connector(aiohttp.TCPConnector):
    """Gives out no connection after the time for sending has passed."""

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Open a connection."""
        connection = await super().connect(req, traces, timeout)
        progress = _current.get()
        if loop_time() >= progress.start_by_s:
            connection.close()
            raise _TooLateError
        progress.connected = True
        return connection


class HttpEndpointClient:
    """Sends requests over HTTP, each on a new connection.

    A new connection tells for certain whether the endpoint can have seen the request, and can't
    have gone silent while it lay unused.
    """

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=_Connector(force_close=True, limit=0),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def send(self, dispatch: Dispatch) -> Answer | NotRun | NoCompleteAnswer:
        """Send a request and wait for the whole answer, until the deadline of the request."""
        progress = _Progress(dispatch.start_by_s)
        _current.set(progress)
        try:
            async with asyncio.timeout_at(dispatch.request.deadline_s):
                return await self._send(dispatch, progress)
        except _TooLateError:
            return NotRun("the time for sending has passed", late=True)
        except TimeoutError:
            if not progress.connected:
                return NotRun("no connection in time")
            return NoCompleteAnswer("no answer in time", cut=progress.answered, timed_out=True)
        except (aiohttp.ClientError, OSError) as error:
            detail = f"{type(error).__name__}: {error}"
            if not progress.connected:
                return NotRun(detail)
            return NoCompleteAnswer(detail, cut=progress.answered)

    async def _send(
        self, dispatch: Dispatch, progress: _Progress
    ) -> Answer | NotRun | NoCompleteAnswer:
        async with self._post(dispatch) as response:
            progress.answered = True
            if not _shows_its_end(response):
                return NoCompleteAnswer("the answer does not show where it ends", cut=True)
            body = await response.read()
        if not response.ok and response.headers.get(RUN_STATE_HEADER) == NOT_RUN:
            return NotRun(f"the endpoint answered {response.status}, not run", declined=True)
        return Answer(response.status, body, response.headers.get(hdrs.CONTENT_TYPE, ""))

    def _post(self, dispatch: Dispatch) -> aiohttp.client._RequestContextManager:
        request = dispatch.request
        left_s = request.deadline_s - loop_time()
        return self.session.post(
            f"http://{dispatch.address}{REQUEST_PATH}",
            data=request.body,
            allow_redirects=False,
            headers={
                hdrs.CONTENT_TYPE: request.content_type,
                hdrs.ACCEPT_ENCODING: "identity",
                "Idempotency-Key": request.key,
                "Briardeal-Customer": request.customer,
                "Briardeal-Incarnation": str(dispatch.incarnation),
                "Briardeal-Permit": dispatch.permit_id,
                "Briardeal-Timeout-S": f"{max(0.0, left_s):.3f}",
            },
        )


def _shows_its_end(response: aiohttp.ClientResponse) -> bool:
    if response.status in BODILESS_STATUSES:
        return True
    chunked = "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
    return chunked or hdrs.CONTENT_LENGTH in response.headers

"""HTTP client that sends requests to endpoints."""

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
    """The connection was opened too late for the request to be sent."""


@attrs.define
class _Progress:
    """Progress of one dispatch."""

    start_by_s: float
    connected: bool = False
    answered: bool = False


_current_progress: ContextVar[_Progress] = ContextVar("progress")
"""Progress of the dispatch in the current task."""


class _Connector(aiohttp.TCPConnector):
    """Connector that returns no connection once it is too late to send the request."""

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a new connection; raise `_TooLateError` from `start_by_s` on."""
        connection = await super().connect(req, traces, timeout)
        progress = _current_progress.get()
        if loop_time() >= progress.start_by_s:
            connection.close()
            raise _TooLateError
        progress.connected = True
        return connection


class HttpEndpointClient:
    """Sends requests over HTTP, each on a new connection.

    If a new connection can't be opened, the endpoint certainly did not receive the request. A
    reused connection could have failed unnoticed while it was idle.
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
        """Send a request and wait for the complete answer until the request's deadline."""
        progress = _Progress(dispatch.start_by_s)
        _current_progress.set(progress)
        try:
            async with asyncio.timeout_at(dispatch.request.deadline_s):
                return await self._send(dispatch, progress)
        except _TooLateError:
            return NotRun("it was too late to send the request", late=True)
        except TimeoutError:
            if not progress.connected:
                return NotRun("no connection was opened before the deadline")
            return NoCompleteAnswer(
                "no complete answer arrived before the deadline",
                cut=progress.answered,
                timed_out=True,
            )
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
            if not _has_defined_end(response):
                return NoCompleteAnswer(
                    "the answer has neither a length nor chunked encoding", cut=True
                )
            body = await response.read()
        if not response.ok and response.headers.get(RUN_STATE_HEADER) == NOT_RUN:
            return NotRun(
                f"the endpoint answered {response.status} and did not run it", declined=True
            )
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


def _has_defined_end(response: aiohttp.ClientResponse) -> bool:
    if response.status in BODILESS_STATUSES:
        return True
    chunked = "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
    return chunked or hdrs.CONTENT_LENGTH in response.headers

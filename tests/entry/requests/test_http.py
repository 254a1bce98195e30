"""Incomplete answers are rejected, and requests that may have run differ from those not run."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.requests import (
    Answer,
    Dispatch,
    HttpEndpointClient,
    NoCompleteAnswer,
    NotRun,
    Request,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=latin-1\r\n"
SHORT_S = 0.2
LONG_S = 20.0


async def exchange(answer, *, timeout_s=LONG_S, start_within_s=LONG_S, keep_open=False):
    """Send one request to a server that writes a raw answer and closes the connection."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(65536))
        writer.write(answer)
        if keep_open:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpEndpointClient()
    now_s = asyncio.get_running_loop().time()
    request = Request("sampling", "audit", b"draw", "text/plain", now_s + timeout_s)
    dispatch = Dispatch(f"{host}:{port}", 3, "entry/1/1", request, now_s + start_within_s)
    outcome = await client.send(dispatch)
    await client.close()
    server.close()
    return outcome, b"".join(received)


@pytest.mark.parametrize(
    "answer",
    [
        OK + b"Content-Length: 5\r\n\r\ndrawn",
        OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\ndrawn\r\n0\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
async def test_complete_answer_is_returned(answer):
    outcome, received = await exchange(answer)
    assert outcome == Answer(200, b"drawn", "text/plain; charset=latin-1")
    assert b"Briardeal-Incarnation: 3" in received
    assert b"Briardeal-Permit: entry/1/1" in received


@pytest.mark.parametrize(
    ("answer", "cut"),
    [
        (OK + b"Content-Length: 9\r\n\r\ndrawn", True),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\ndrawn\r\n", True),
        (OK + b"\r\ndrawn", True),
        (OK, False),
        (b"", False),
    ],
    ids=["short", "chunked without end", "no end marker", "head only", "nothing"],
)
async def test_incomplete_answer_is_rejected(answer, cut):
    outcome, _ = await exchange(answer)
    assert isinstance(outcome, NoCompleteAnswer)
    assert outcome.cut == cut


async def test_declined_request_did_not_run():
    refusal = (
        b"HTTP/1.1 421 Misdirected\r\nBriardeal-Run-State: not_run\r\nContent-Length: 0\r\n\r\n"
    )
    outcome, _ = await exchange(refusal)
    assert isinstance(outcome, NotRun)
    assert outcome.declined


async def test_wait_ends_at_the_deadline():
    outcome, _ = await exchange(b"", timeout_s=SHORT_S, keep_open=True)
    assert isinstance(outcome, NoCompleteAnswer)
    assert outcome.timed_out


async def test_request_is_not_sent_after_start_by():
    outcome, received = await exchange(b"", start_within_s=0)
    assert isinstance(outcome, NotRun)
    assert outcome.late
    assert received == b""


async def test_request_did_not_run_if_the_connection_is_refused():
    client = HttpEndpointClient()
    later_s = asyncio.get_running_loop().time() + LONG_S
    request = Request("sampling", "audit", b"draw", "text/plain", later_s)
    outcome = await client.send(Dispatch("127.0.0.1:1", 3, "", request, later_s))
    await client.close()
    assert isinstance(outcome, NotRun)

"""The server answers over real sockets, refuses with an answer, and keeps what it has read."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from briardeal_core.http import HttpLimits, HttpServer, ListenerBudget, Reply
from briardeal_core.http._connection import SLICE_BYTES
from briardeal_core.http._turns import PIECES_IN_TURN, Turns

LIMITS = HttpLimits(max_header_bytes=1_000, max_body_bytes=200_000)
GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
TIMEOUT_S = 30.0


def echo(request):
    return Reply(200, request.path.encode() + b" %d" % len(request.body))


@contextlib.asynccontextmanager
async def run_server(handle=echo, budget=None, limits=LIMITS):
    closed = []
    server = HttpServer(handle, budget, limits, closed.append)
    server.closed = closed
    await server.start("127.0.0.1:0")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield server
    finally:
        await server.stop()


async def connect(server):
    host, _, port = server.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send(server, data):
    """Return all that the server sends back until it closes the connection."""
    reader, writer = await connect(server)
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return head, await reader.readexactly(length)


async def settle():
    """Let the server handle what was sent; a second connection is answered behind it."""
    for _ in range(20):
        await asyncio.sleep(0.005)


async def test_requests_of_one_connection_are_answered_in_order():
    async def handle_later(request):
        await asyncio.sleep(0)
        return echo(request)

    for handle in (echo, handle_later):
        async with run_server(handle) as server:
            reader, writer = await connect(server)
            writer.write(GET + POST % 3 + b"abc" + GET.replace(b"/a", b"/b"))
            writer.write(POST % 150_000 + b"a" * 150_000)
            bodies = [(await read_answer(reader))[1] for _ in range(4)]
            assert bodies == [b"/a 0", b"/a 3", b"/b 0", b"/a 150000"]
            writer.write(b"HEAD /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 200 \r\nContent-Length: 4\r\n")
            assert answer.endswith(b"\r\n\r\n")
            assert server.budget.held_bytes == 0
            assert b"Connection: close" in await send(server, b"GET /a HTTP/1.0\r\n\r\n")


async def test_client_that_waits_before_its_body_is_told_to_go_on():
    async with run_server() as server:
        reader, writer = await connect(server)
        writer.write((POST % 3).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"))
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 \r\n\r\n"
        writer.write(b"abc")
        assert (await read_answer(reader))[1] == b"/a 3"
        writer.close()


@pytest.mark.parametrize(
    ("data", "status", "limit"),
    [
        (POST % 200_001, 413, "maxBodyBytes"),
        (b"GET / HTTP/1.1\r\nX: " + b"a" * 1_000, 431, "maxHeaderBytes"),
        (b"GET / HTTP/1.1\r\n\r\n", 400, ""),
        (GET[:-4], 408, ""),
        (POST % 9, 408, ""),
    ],
)
async def test_refusal_names_the_limit_and_that_nothing_has_run(data, status, limit):
    calls = []
    limits = HttpLimits(1_000, 200_000, header_timeout_s=0.05, body_timeout_s=0.05)
    async with run_server(calls.append, limits=limits) as server:
        answer = await send(server, data)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d " % status)
        assert b"Connection: close" in head
        assert json.loads(body)["limit"] == limit
        assert json.loads(body)["run_state"] == "not_run"
        assert json.loads(body)["message"]
        assert not calls
        assert server.closed == [json.loads(body)["reason"]]


async def test_client_that_sends_on_after_its_refusal_reads_the_answer():
    # Guards against a reset, which would discard the answer before the client reads it.
    async with run_server() as server:
        reader, writer = await connect(server)
        writer.write(POST % 400_000 + b"a" * 400_000)
        await writer.drain()
        assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
        writer.close()


async def test_stalled_reads_give_way_to_others_with_a_retry_after():
    # Guards against bodies that stop just short of their end and hold the memory of the process.
    budget = ListenerBudget(50, 300_000)
    async with run_server(budget=budget) as server:
        stalled = []
        for _ in range(6):
            stalled.append(await connect(server))
            stalled[-1][1].write(POST % 150_000 + b"a" * 149_000)
            await settle()
        answer = await stalled[0][0].read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in answer
        assert server.budget.held_bytes <= budget.held_bytes
        reader, writer = stalled[-1]
        writer.write(b"a" * 1_000)
        assert (await read_answer(reader))[1] == b"/a 150000"
        for _, writer in stalled:
            writer.close()


async def test_connections_above_the_budget_are_closed_except_served_ones():
    # Guards against requests cancelled for a crowd: an answer that is owed must come.
    release = asyncio.Event()

    async def handle_held(request):
        if request.path == "/held":
            await release.wait()
        return echo(request)

    async with run_server(handle_held, ListenerBudget(4, 0)) as server:
        held = await connect(server)
        held[1].write(GET.replace(b"/a", b"/held"))
        await settle()
        silent = [await connect(server) for _ in range(10)]
        await settle()
        assert len(server.budget.holdings) <= 4
        reader, writer = await connect(server)
        writer.write(GET)
        assert (await read_answer(reader))[1] == b"/a 0"
        release.set()
        assert (await read_answer(held[0]))[1] == b"/held 0"
        assert "idle_for_others" in server.closed
        writer.close()
        for _, other in [held, *silent]:
            other.close()


async def test_requests_that_were_read_are_answered_while_the_server_stops():
    release = asyncio.Event()

    async def handle_held(request):
        await release.wait()
        return echo(request)

    async with run_server(handle_held) as server:
        reader, writer = await connect(server)
        writer.write(GET + GET.replace(b"/a", b"/b"))
        await settle()
        server.draining = True
        await server.stop()
        server.apply_limits(HttpLimits(1, 1, 0.0, 0.0, 0.0))
        server.apply_budget(ListenerBudget(0, 0))
        await settle()
        assert server.active_requests == 1
        release.set()
        first, second = [await read_answer(reader), await read_answer(reader)]
        assert [first[1], second[1]] == [b"/a 0", b"/b 0"]
        assert b"Connection: close" not in first[0]
        assert b"Connection: close" in second[0]
        assert await reader.read() == b""
        writer.close()


async def test_client_that_has_ended_its_side_reads_all_answers():
    # Guards against an answer cut off by the end of a client that only stops sending, and against
    # an answer larger than the buffers of the socket that its client reads late.
    async def handle_later(request):
        await asyncio.sleep(0)
        return Reply(200, request.body * 20)

    async with run_server(handle_later) as server:
        reader, writer = await connect(server)
        writer.write((POST % 100_000 + b"a" * 100_000) * 2)
        writer.write_eof()
        await settle()
        bodies = [(await read_answer(reader))[1] for _ in range(2)]
        assert [len(body) for body in bodies] == [2_000_000] * 2
        assert await reader.read() == b""
        writer.close()


async def test_few_pieces_are_parsed_before_others_are_served():
    # Guards against a crowd of one-byte chunks that keeps the event loop for all its pieces.
    resumed = []

    class Connection:
        def resume_turn(self):
            resumed.append(self)

    turns = Turns()
    read_on = [turns.read_on(Connection()) for _ in range(3 * PIECES_IN_TURN)]
    assert read_on == [True] * PIECES_IN_TURN + [False] * 2 * PIECES_IN_TURN
    for done in (1, 2):
        await asyncio.sleep(0)
        assert len(resumed) == done * PIECES_IN_TURN
    await asyncio.sleep(0)
    assert turns.read_on(Connection())


async def test_pipelined_requests_are_parsed_no_further_ahead_than_one_slice():
    # Guards against small requests whose parsed form takes many times the bytes that are counted.
    count = 2_000
    released = asyncio.Event()

    async def handle_later(request):
        await released.wait()
        return echo(request)

    async with run_server(handle_later) as server:
        reader, writer = await connect(server)
        writer.write(GET * count)
        await settle()
        (holding,) = server.budget.holdings
        assert len(holding.connection.parser.complete) <= SLICE_BYTES // len(GET)
        released.set()
        for _ in range(count):
            assert (await read_answer(reader))[1] == b"/a 0"
        writer.close()


async def test_connections_whose_answers_are_not_read_give_way_to_others():
    # Guards against a crowd that takes all places for as long as it reads no answer.
    def answer(request):
        return Reply(200, b"a" * 4_000_000) if request.path == "/a" else echo(request)

    async with run_server(answer, ListenerBudget(4, 0)) as server:
        streams = [await connect(server) for _ in range(4)]
        for _, writer in streams:
            writer.transport.pause_reading()
            writer.write(GET)
        await settle()
        reader, writer = await connect(server)
        writer.write(GET.replace(b"/a", b"/b"))
        assert (await read_answer(reader))[1] == b"/b 0"
        assert server.closed == ["unread_answer"]
        for _, other in [*streams, (reader, writer)]:
            other.close()


async def test_clients_that_send_ahead_give_way_when_all_connections_are_served():
    # Guards against a few clients with thousands of requests each that keep all others out.
    release = asyncio.Event()

    async def handle_held(request):
        if request.path == "/a":
            await release.wait()
        return echo(request)

    async with run_server(handle_held, ListenerBudget(4, 0)) as server:
        streams = [await connect(server) for _ in range(4)]
        for _, writer in streams[1:]:
            writer.write(GET * 1_000)
        streams[0][1].write(GET)
        await settle()
        reader, writer = await connect(server)
        writer.write(GET.replace(b"/a", b"/b"))
        assert (await read_answer(reader))[1] == b"/b 0"
        release.set()
        answers = [await other.read() for other, _ in streams[1:2]]
        assert b"Connection: close" in answers[0]
        assert (await read_answer(streams[0][0]))[1] == b"/a 0"
        assert server.closed == ["sends_ahead"]
        for _, other in [*streams, (reader, writer)]:
            other.close()
        await settle()

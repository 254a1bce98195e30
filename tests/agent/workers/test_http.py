"""Calls to a worker over HTTP."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_agent.workers import HttpWorker, WorkerUnavailable


async def answer_with(body: bytes) -> asyncio.Server:
    """Start a server that answers every request with the given body."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        length = str(len(body)).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\n" + body)
        await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


@pytest.mark.parametrize("body", [b"", b"{", b'{"tasks": 1}', b'[{"task_id": 5}]'])
async def test_unreadable_list_of_tasks_counts_as_an_unavailable_worker(body):
    server = await answer_with(body)
    host, port = server.sockets[0].getsockname()
    outcome = await HttpWorker(f"{host}:{port}").tasks()
    server.close()
    assert isinstance(outcome, WorkerUnavailable)
    assert "unreadable list of tasks" in outcome.detail

"""Latency and throughput of one entry process, compared with direct calls of the endpoint."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.figures import Bound, Figure
from briardeal_standins.processes import Processes, cpu_s, free_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GROUP = "requests"
ENDPOINTS = 4
READY_S = 20.0
WARM_UP = 100
PROBES = 600
LOAD_REQUESTS = 3000
LOAD_CALLERS = 20
SHUTDOWN_CALLERS = 10
SHUTDOWN_TIMEOUT_S = 10
BALANCER_POLL_S = 0.1
BODY = b"x" * 1000
HISTOGRAM_MAX_US = 10_000_000


def measure() -> list[Figure]:
    """Start an entry, agents and endpoints as processes and send requests through them."""
    processes = Processes()
    try:
        return asyncio.run(_measure(processes))
    finally:
        processes.kill_all()


async def _measure(processes: Processes) -> list[Figure]:
    entry, endpoint = _start(processes)
    entry_url = f"http://{entry}/v1/services/sampling/requests"
    endpoint_url = f"http://{endpoint}/v1/requests"
    async with aiohttp.ClientSession() as session:

        async def send(url: str) -> bool:
            async with session.post(url, data=BODY) as response:
                await response.read()
                return response.status == HTTPStatus.OK

        await _wait_ready(send, entry_url)
        for _ in range(WARM_UP):
            await send(entry_url)
        return [
            *await _measure_latency(send, entry_url, endpoint_url),
            *await _measure_throughput(send, entry_url, processes.running["entry"].pid),
            await _measure_shutdown(session, entry_url, processes),
        ]


def _start(processes: Processes) -> tuple[str, str]:
    log, entry, agents, peers = (free_address() for _ in range(4))
    processes.start("log", "briardeal_standins.log", "--listen", log)
    processes.start(
        "entry",
        "briardeal",
        "serve",
        *("--entry-id", "entry", "--region", "ljubljana", "--failure-domain", "lj-1"),
        *("--listen", entry, "--agent-listen", agents, "--peer-listen", peers, "--log", log),
    )
    endpoint = ""
    for number in range(ENDPOINTS):
        endpoint = _start_endpoint(processes, f"vm-{number}", agents)
    return entry, endpoint


def _start_endpoint(processes: Processes, name: str, agents: str) -> str:
    agent, endpoint = free_address(), free_address()
    processes.start(
        f"agent-{name}",
        "briardeal_agent",
        "run",
        *("--agent-id", name, "--region", "ljubljana", "--failure-domain", "lj-1"),
        *("--listen", agent, "--entries", agents),
    )
    processes.start(
        name,
        "briardeal_standins.endpoint",
        *("--name", name, "--service", "sampling", "--listen", endpoint, "--agent", agent),
        *("--work-s", "0"),
    )
    return endpoint


async def _wait_ready(send: Callable[[str], Awaitable[bool]], url: str) -> None:
    async with asyncio.timeout(READY_S):
        while True:
            try:
                if await send(url):
                    break
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
    await asyncio.sleep(2)


async def _measure_latency(
    send: Callable[[str], Awaitable[bool]], entry_url: str, endpoint_url: str
) -> list[Figure]:
    histograms = {url: HdrHistogram(1, HISTOGRAM_MAX_US, 3) for url in (entry_url, endpoint_url)}
    for _ in range(PROBES):
        for url, histogram in histograms.items():
            began_s = time.perf_counter()
            await send(url)
            histogram.record_value(max(1, round((time.perf_counter() - began_s) * 1e6)))
    figures = []
    for percent in (50, 99):
        through_us, direct_us = (h.get_value_at_percentile(percent) for h in histograms.values())
        added_ms = (through_us - direct_us) / 1000
        figures.append(Figure(GROUP, f"directly, p{percent}", direct_us / 1000, "ms"))
        figures.append(Figure(GROUP, f"added by the entry, p{percent}", added_ms, "ms"))
    return figures


async def _measure_throughput(
    send: Callable[[str], Awaitable[bool]], url: str, pid: int
) -> list[Figure]:
    done = 0

    async def call() -> None:
        nonlocal done
        for _ in range(LOAD_REQUESTS // LOAD_CALLERS):
            answered = await send(url)
            done += answered

    began_s, began_cpu_s = time.perf_counter(), cpu_s(pid)
    await asyncio.gather(*(call() for _ in range(LOAD_CALLERS)))
    took_s, spent_s = time.perf_counter() - began_s, cpu_s(pid) - began_cpu_s
    return [
        Figure(GROUP, "requests/s through one entry", done / took_s, "req/s"),
        Figure(GROUP, "requests per second of the entry's core", done / spent_s, "req/s"),
        Figure(GROUP, "share of the load answered", 100 * done / LOAD_REQUESTS, "%"),
    ]


async def _measure_shutdown(
    session: aiohttp.ClientSession, url: str, processes: Processes
) -> Figure:
    entry = processes.running["entry"]
    is_ready = asyncio.Event()
    is_ready.set()
    failed = 0

    async def call() -> None:
        nonlocal failed
        while is_ready.is_set():
            try:
                async with session.post(url, data=BODY) as response:
                    await response.read()
                    failed += response.status != HTTPStatus.OK
            except aiohttp.ClientError:
                failed += 1

    callers = [asyncio.create_task(call()) for _ in range(SHUTDOWN_CALLERS)]
    await asyncio.sleep(0.5)
    entry.terminate()
    await _watch_readiness(session, url, is_ready)
    await asyncio.gather(*callers)
    entry.wait(SHUTDOWN_TIMEOUT_S)
    text = "requests cut or refused as a real entry shuts down under load"
    return Figure(GROUP, text, failed, "", Bound("==", 0))


async def _watch_readiness(
    session: aiohttp.ClientSession, url: str, is_ready: asyncio.Event
) -> None:
    """Poll the readiness as a load balancer does; stop the load once the entry is not ready."""
    health = url.partition("/v1/")[0] + "/readyz"
    while is_ready.is_set():
        await asyncio.sleep(BALANCER_POLL_S)
        async with session.get(health) as response:
            if response.status != HTTPStatus.OK:
                is_ready.clear()

"""Memory, processor time and control traffic of a real agent process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from bench.figures import Bound, Figure
from briardeal_agent.permits import QUARANTINE_S
from briardeal_core.http import HttpReply, fetch
from briardeal_protocol.connections import Link, TcpNetwork
from briardeal_protocol.messages import (
    Admit,
    Admitted,
    AgentHello,
    EndpointState,
    EntryHello,
    Heartbeat,
    HeartbeatAck,
    Release,
    encode,
)
from briardeal_standins.processes import Processes, cpu_s, free_address, resident_mb

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

AGENT_MEMORY_MB = 32
AGENT_CPU_PERCENT = 1.6
AGENT_BYTES_PER_S = 3000
HEARTBEATS_MEASURED = 2000
CALLS_MEASURED = 4000
HEARTBEAT_INTERVAL_S = 0.002
"""Far shorter than in production, to measure many heartbeats in a short time."""

ENTRIES_PER_REGION = 3
HEARTBEATS_PER_S = 1.0
REQUESTS_PER_S = 1.0
"""Requests per second at one endpoint; most work of the target is jobs of hours."""

ENDPOINT = EndpointState(
    service="sampling", address="127.0.0.1:1", incarnation=1, slots=8, connections=64
)


@attrs.define
class MeasuringEntry:
    """An entry that answers heartbeats and counts them."""

    link: Link | None = None
    heartbeats: int = 0
    joined: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, connection) -> None:
        """Serve the agent's connection."""
        assert isinstance(await connection.receive(), AgentHello)
        self.link = Link(connection)
        hello = EntryHello(entry_id="e", incarnation=1, heartbeat_interval_s=HEARTBEAT_INTERVAL_S)
        await connection.send(hello)
        self.joined.set()
        await self.link.run(self._handle)

    async def _handle(self, message) -> None:
        if isinstance(message, Heartbeat):
            self.heartbeats += 1
            await self.link.connection.send(HeartbeatAck(sequence=message.sequence))

    async def wait_heartbeats(self, count: int) -> None:
        """Wait for a number of further heartbeats."""
        goal = self.heartbeats + count
        while self.heartbeats < goal:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@attrs.frozen
class Cost:
    """Processor time in seconds and bytes in both directions."""

    cpu_s: float
    transferred_bytes: float

    def divided_by(self, count: int) -> Cost:
        """Return the cost of one of `count` equal operations."""
        return Cost(self.cpu_s / count, self.transferred_bytes / count)

    def without(self, other: Cost, count: int) -> Cost:
        """Return the cost less that of `count` other operations in the same period."""
        return Cost(
            self.cpu_s - count * other.cpu_s,
            self.transferred_bytes - count * other.transferred_bytes,
        )


@attrs.frozen
class AgentUse:
    """Memory, processor time and control traffic of one agent process.

    Parameters
    ----------
    resident_mb
        Resident memory after all calls, in MB.
    heartbeat, request
        Cost of one heartbeat and of one admitted request.
    """

    resident_mb: float
    heartbeat: Cost
    request: Cost

    @property
    def cpu_percent(self) -> float:
        """Share of a core in percent, at the stated rates."""
        heartbeats_s = ENTRIES_PER_REGION * HEARTBEATS_PER_S * self.heartbeat.cpu_s
        return 100 * (heartbeats_s + REQUESTS_PER_S * self.request.cpu_s)

    @property
    def bytes_per_s(self) -> float:
        """Control traffic in both directions in bytes per second, at the stated rates."""
        heartbeats = ENTRIES_PER_REGION * HEARTBEATS_PER_S * self.heartbeat.transferred_bytes
        return heartbeats + REQUESTS_PER_S * self.request.transferred_bytes


def measure() -> list[Figure]:
    """Return the memory, processor time and control traffic of one agent, with their bounds."""
    use = measure_agent()
    return [
        Figure("agent", "resident memory", use.resident_mb, "MB", Bound("<=", AGENT_MEMORY_MB)),
        Figure("agent", "processor time a heartbeat", use.heartbeat.cpu_s * 1e6, "us"),
        Figure("agent", "processor time a request", use.request.cpu_s * 1e6, "us"),
        Figure(
            "agent",
            "share of a core, 3 entries, 1 request/s",
            use.cpu_percent,
            "%",
            Bound("<=", AGENT_CPU_PERCENT),
        ),
        Figure(
            "agent",
            "control bytes, 3 entries, 1 request/s",
            use.bytes_per_s,
            "B/s",
            Bound("<=", AGENT_BYTES_PER_S),
        ),
    ]


def measure_agent() -> AgentUse:
    """Run one agent process and return its memory, processor time and control traffic."""
    return asyncio.run(_measure_agent())


async def _measure_agent() -> AgentUse:
    entry = MeasuringEntry()
    listener = await TcpNetwork().listen("127.0.0.1:0", entry.serve)
    http = free_address()
    processes = Processes()
    pid = processes.start(
        "agent",
        "briardeal_agent",
        "run",
        *("--agent-id", "a", "--region", "r", "--failure-domain", "d"),
        *("--listen", http, "--entries", listener.address, "--endpoint-lease-s", "600"),
    )
    try:
        await entry.joined.wait()
        return await _measure_use(pid, entry, http)
    finally:
        await listener.close()
        await entry.link.connection.close()
        processes.kill_all()


async def _measure_use(pid: int, entry: MeasuringEntry, http: str) -> AgentUse:
    announced = await fetch("PUT", http, "/v1/endpoint", _announcement(), timeout_s=5)
    assert announced == HttpReply(200, b"{}"), announced
    await entry.wait_heartbeats(HEARTBEATS_MEASURED // 10)
    await asyncio.sleep(QUARANTINE_S)
    heartbeat = await _measure_cost(pid, entry, lambda: entry.wait_heartbeats(HEARTBEATS_MEASURED))
    heartbeats_before = entry.heartbeats
    calls = await _measure_cost(pid, entry, lambda: _send_requests(entry.link))
    heartbeats = entry.heartbeats - heartbeats_before
    assert (await fetch("GET", http, "/metrics", timeout_s=5)).status == 200
    heartbeat = heartbeat.divided_by(HEARTBEATS_MEASURED)
    return AgentUse(
        resident_mb=resident_mb(pid),
        heartbeat=heartbeat,
        request=calls.without(heartbeat, heartbeats).divided_by(CALLS_MEASURED),
    )


async def _measure_cost(
    pid: int, entry: MeasuringEntry, work: Callable[[], Awaitable[None]]
) -> Cost:
    connection = entry.link.connection
    before_s = cpu_s(pid)
    before_bytes = connection.bytes_sent + connection.bytes_received
    await work()
    transferred = connection.bytes_sent + connection.bytes_received - before_bytes
    return Cost(cpu_s(pid) - before_s, transferred)


async def _send_requests(link: Link) -> None:
    for _ in range(CALLS_MEASURED):
        await _request(link)


async def _request(link: Link) -> None:
    call_id = link.next_call_id()
    admitted = await link.call(_admit(call_id), 5)
    assert isinstance(admitted, Admitted), admitted
    await link.connection.send(Release(permit=call_id))


def _admit(call_id: int) -> Admit:
    key = f"k1~entry-1~1796331765193~1796331765~{call_id:012d}"
    return Admit(
        call_id=call_id, permit=call_id, key=key, incarnation=1, deadline_s=30, customer="audit"
    )


def _announcement() -> bytes:
    return encode(ENDPOINT)

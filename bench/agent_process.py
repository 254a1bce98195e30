"""Memory, processor time and bytes of a real agent process."""

from __future__ import annotations

import asyncio

import attrs

from bench.figures import Bound, Figure
from bench.processes import MeasuredProcess, free_address
from briardeal_agent.http import HttpReply, fetch
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

AGENT_MEMORY_MB = 32
AGENT_CPU_PERCENT = 1.6
AGENT_BYTES_PER_S = 3000
HEARTBEATS_MEASURED = 2000
CALLS_MEASURED = 4000
FAST_HEARTBEAT_S = 0.002
ENTRIES_PER_REGION = 3
HEARTBEATS_PER_S = 1.0
REQUESTS_PER_S = 1.0
"""Requests per second at one endpoint; most work of the target is jobs of hours."""

ENDPOINT = EndpointState(
    service="sampling", address="127.0.0.1:1", incarnation=1, slots=8, connections=64
)


@attrs.define
class MeasuringEntry:
    """An entry that only counts what an agent sends."""

    link: Link | None = None
    heartbeats: int = 0
    joined: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, connection) -> None:
        """Serve the agent's connection."""
        assert isinstance(await connection.receive(), AgentHello)
        self.link = Link(connection)
        hello = EntryHello(entry_id="e", incarnation=1, heartbeat_interval_s=FAST_HEARTBEAT_S)
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
            await asyncio.sleep(FAST_HEARTBEAT_S)


@attrs.frozen
class AgentUse:
    """What one agent process used.

    Parameters
    ----------
    resident_mb
        Resident memory after all calls, in MB.
    heartbeat_cpu_s, call_cpu_s
        Processor time for one heartbeat and for one admitted request, in seconds.
    bytes_per_s
        Control bytes a second in both directions at the stated rates.
    """

    resident_mb: float
    heartbeat_cpu_s: float
    call_cpu_s: float
    bytes_per_s: float

    @property
    def cpu_percent(self) -> float:
        """Share of a core at the stated rates."""
        heartbeats_s = ENTRIES_PER_REGION * HEARTBEATS_PER_S * self.heartbeat_cpu_s
        return 100 * (heartbeats_s + REQUESTS_PER_S * self.call_cpu_s)


def measure() -> list[Figure]:
    """Return the use of one agent against its bounds."""
    use = measure_agent()
    return [
        Figure("agent", "resident memory", use.resident_mb, "MB", Bound("<=", AGENT_MEMORY_MB)),
        Figure("agent", "processor time a heartbeat", use.heartbeat_cpu_s * 1e6, "us"),
        Figure("agent", "processor time a request", use.call_cpu_s * 1e6, "us"),
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
    """Run one agent process and return what it used."""
    return asyncio.run(_measure_agent())


async def _measure_agent() -> AgentUse:
    entry = MeasuringEntry()
    listener = await TcpNetwork().listen("127.0.0.1:0", entry.serve)
    http = free_address()
    process = MeasuredProcess(
        "briardeal_agent",
        "run",
        *("--agent-id", "a", "--region", "r", "--failure-domain", "d"),
        *("--listen", http, "--entries", listener.address, "--endpoint-lease-s", "600"),
    )
    try:
        await entry.joined.wait()
        return await _use(process, entry, http)
    finally:
        await listener.close()
        await entry.link.connection.close()
        process.stop()


async def _use(process: MeasuredProcess, entry: MeasuringEntry, http: str) -> AgentUse:
    announced = await fetch("PUT", http, "/v1/endpoint", _announcement(), timeout_s=5)
    assert announced == HttpReply(200, b"{}"), announced
    await entry.wait_heartbeats(HEARTBEATS_MEASURED // 10)
    before_s = process.cpu_s()
    await entry.wait_heartbeats(HEARTBEATS_MEASURED)
    heartbeat_cpu_s = (process.cpu_s() - before_s) / HEARTBEATS_MEASURED
    before_s, beats = process.cpu_s(), entry.heartbeats
    for _ in range(CALLS_MEASURED):
        await _request(entry.link)
    spent_s = process.cpu_s() - before_s - (entry.heartbeats - beats) * heartbeat_cpu_s
    assert (await fetch("GET", http, "/metrics", timeout_s=5)).status == 200
    return AgentUse(
        process.resident_mb(), heartbeat_cpu_s, spent_s / CALLS_MEASURED, _bytes_per_s()
    )


async def _request(link: Link) -> None:
    admit = _admit(link.next_call_id())
    await link.call(admit, 5)
    await link.connection.send(Release(call_id=admit.call_id, started=True))


def _admit(call_id: int) -> Admit:
    key = f"k1~entry-1~1796331765193~1796331765~{call_id:012d}"
    return Admit(call_id=call_id, key=key, incarnation=1, deadline_s=30, customer="audit")


def _announcement() -> bytes:
    return encode(ENDPOINT)


def _bytes_per_s() -> float:
    heartbeat = len(encode(Heartbeat(sequence=100_000))) + len(
        encode(HeartbeatAck(sequence=100_000))
    )
    request = len(encode(_admit(100_000))) + len(encode(Release(call_id=100_000, started=True)))
    admitted = len(encode(Admitted(call_id=100_000, start_within_s=2.0)))
    return ENTRIES_PER_REGION * HEARTBEATS_PER_S * heartbeat + REQUESTS_PER_S * (request + admitted)

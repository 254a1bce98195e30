"""Memory and processor time of a real entry process by the number of its agents."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import attrs

from bench.figures import Figure
from briardeal_core.jobs import WorkerShape
from briardeal_protocol.connections import Closed, TcpNetwork
from briardeal_protocol.messages import (
    AgentHello,
    EndpointState,
    EntryHello,
    Heartbeat,
    HeartbeatAck,
    TakeInventory,
    Tasks,
    WorkerState,
)
from briardeal_standins.processes import Processes, cpu_s, free_address, resident_mb

if TYPE_CHECKING:
    from briardeal_protocol.connections import Connection

AGENT_COUNTS = (75, 150, 300)
HEARTBEATS_PER_AGENT = 20
JOBS_MEASURED = 500
CONCURRENT_JOBS = 50
READY_POLL_S = 0.05


@attrs.frozen
class EntryUse:
    """Memory, processor time and heartbeat traffic of one entry process.

    Parameters
    ----------
    base_mb
        Resident memory without agents, in MB.
    agent_kb
        Additional memory for each agent, in KB.
    job_kb
        Additional memory for each accepted job, in KB.
    heartbeat_cpu_s, heartbeat_bytes
        Processor time in seconds and bytes in both directions for one heartbeat.
    job_cpu_s
        Processor time for accepting one job, in seconds.
    """

    base_mb: float
    agent_kb: float
    job_kb: float
    heartbeat_cpu_s: float
    heartbeat_bytes: float
    job_cpu_s: float


@attrs.define
class FakeAgent:
    """The connection of an agent that only sends heartbeats."""

    number: int
    connection: Connection | None = None

    async def join(self, address: str) -> None:
        """Connect and announce a worker and an endpoint."""
        self.connection = await TcpNetwork().connect(address)
        assert not isinstance(self.connection, Closed), self.connection
        await self.connection.send(_hello(self.number))
        assert isinstance(await self.connection.receive(), EntryHello)

    async def send_heartbeats(self, count: int) -> None:
        """Send heartbeats one by one, each after the previous one is acknowledged."""
        for sequence in range(count):
            await self.connection.send(Heartbeat(sequence=sequence + 1))
            await self._wait_ack(sequence + 1)

    async def _wait_ack(self, sequence: int) -> None:
        while (message := await self.connection.receive()) != HeartbeatAck(sequence=sequence):
            assert not isinstance(message, Closed), message
            if isinstance(message, TakeInventory):
                await self.connection.send(Tasks(tasks=(), fence=0, call_id=message.call_id))


def measure() -> list[Figure]:
    """Return the memory, processor time and heartbeat traffic of one entry process."""
    use = measure_entry()
    return [
        Figure("entry", "resident memory without agents", use.base_mb, "MB"),
        Figure("entry", "memory for each agent", use.agent_kb, "KB"),
        Figure("entry", "memory for each accepted job", use.job_kb, "KB"),
        Figure("entry", "processor time a heartbeat", use.heartbeat_cpu_s * 1e6, "us"),
        Figure("entry", "bytes a heartbeat and its answer", use.heartbeat_bytes, "B"),
        Figure("entry", "processor time an accepted job", use.job_cpu_s * 1e6, "us"),
    ]


def measure_entry() -> EntryUse:
    """Run one entry process and return its memory, processor time and heartbeat traffic."""
    return asyncio.run(_measure_entry())


async def _measure_entry() -> EntryUse:
    log, http, agents = free_address(), free_address(), free_address()
    processes = Processes()
    processes.start("log", "briardeal_standins.log", "--listen", log)
    pid = processes.start(
        "entry",
        "briardeal",
        "serve",
        *("--entry-id", "e", "--region", "r", "--failure-domain", "d", "--log", log),
        *("--listen", http, "--agent-listen", agents, "--peer-listen", free_address()),
        *("--agent-lease-s", "600"),
    )
    try:
        await _wait_ready(http)
        return await _measure_use(pid, http, agents)
    finally:
        processes.kill_all()


async def _measure_use(pid: int, http: str, agents_address: str) -> EntryUse:
    base_mb = resident_mb(pid)
    agents: list[FakeAgent] = []
    memory_mb = {}
    for count in AGENT_COUNTS:
        joining = [FakeAgent(number) for number in range(len(agents), count)]
        await asyncio.gather(*(agent.join(agents_address) for agent in joining))
        agents += joining
        await asyncio.gather(*(agent.send_heartbeats(1) for agent in agents))
        memory_mb[count] = resident_mb(pid)
    heartbeats = len(agents) * HEARTBEATS_PER_AGENT
    before_s, before_bytes = cpu_s(pid), _count_transferred_bytes(agents)
    await asyncio.gather(*(agent.send_heartbeats(HEARTBEATS_PER_AGENT) for agent in agents))
    heartbeat_cpu_s = (cpu_s(pid) - before_s) / heartbeats
    heartbeat_bytes = (_count_transferred_bytes(agents) - before_bytes) / heartbeats
    job_cpu_s, job_kb = await _submit_jobs(pid, http)
    for agent in agents:
        await agent.connection.close()
    return EntryUse(
        base_mb=base_mb,
        agent_kb=_slope(memory_mb) * 1024,
        job_kb=job_kb,
        heartbeat_cpu_s=heartbeat_cpu_s,
        heartbeat_bytes=heartbeat_bytes,
        job_cpu_s=job_cpu_s,
    )


def _count_transferred_bytes(agents: list[FakeAgent]) -> int:
    connections = [agent.connection for agent in agents]
    return sum(connection.bytes_sent + connection.bytes_received for connection in connections)


async def _submit_jobs(pid: int, http: str) -> tuple[float, float]:
    job = {"customer": "c", "job_class": "b", "tasks": 64, "accelerators_per_task": 9}
    async with aiohttp.ClientSession() as session:
        await _submit(session, http, job, JOBS_MEASURED // 5)
        before_s, before_mb = cpu_s(pid), resident_mb(pid)
        await _submit(session, http, job, JOBS_MEASURED)
    spent_s = cpu_s(pid) - before_s
    growth_kb = (resident_mb(pid) - before_mb) * 1024
    return spent_s / JOBS_MEASURED, growth_kb / JOBS_MEASURED


async def _submit(session: aiohttp.ClientSession, http: str, job: object, count: int) -> None:
    for start in range(0, count, CONCURRENT_JOBS):
        batch = range(start, min(start + CONCURRENT_JOBS, count))
        await asyncio.gather(*(_submit_one(session, http, job) for _ in batch))


async def _submit_one(session: aiohttp.ClientSession, http: str, job: object) -> None:
    async with session.post(f"http://{http}/v1/jobs", json=job) as response:
        assert response.status == 201, await response.text()


async def _wait_ready(http: str) -> None:
    async with aiohttp.ClientSession() as session, asyncio.timeout(30):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"http://{http}/readyz") as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(READY_POLL_S)


def _hello(number: int) -> AgentHello:
    shape = WorkerShape(
        worker_id=f"worker-{number}",
        region="r",
        failure_domain="d",
        rack=f"rack-{number // 3}",
        accelerators=8,
    )
    endpoint = EndpointState(
        service="sampling", address="127.0.0.1:1", incarnation=1, slots=8, connections=64
    )
    return AgentHello(
        agent_id=shape.worker_id,
        incarnation=1,
        region="r",
        failure_domain="d",
        endpoint=endpoint,
        worker=WorkerState(shape=shape),
    )


def _slope(points: dict[int, float]) -> float:
    """Return the least-squares slope of the points."""
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    numerator = sum((x - mean_x) * (y - mean_y) for x, y in points.items())
    return numerator / sum((x - mean_x) ** 2 for x in points)

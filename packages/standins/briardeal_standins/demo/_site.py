"""The system of the demo: a log, one entry, endpoints and workers with their agents."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs

from briardeal_standins.demo._processes import Processes, free_address

READY_TIMEOUT_S = 20.0
POLL_S = 0.1


@attrs.define
class Site:
    """Addresses and processes of the demo."""

    processes: Processes = attrs.field(factory=Processes)
    log: str = attrs.field(factory=free_address)
    entry: str = attrs.field(factory=free_address)
    entry_agents: str = attrs.field(factory=free_address)
    entry_peers: str = attrs.field(factory=free_address)

    def start_control(self) -> None:
        """Start the log and one entry."""
        self.processes.start("log", "briardeal_standins.log", "--listen", self.log)
        self.processes.start(
            "entry-1",
            "briardeal",
            "serve",
            *("--entry-id", "entry-1", "--region", "ljubljana", "--failure-domain", "lj-1"),
            *("--listen", self.entry, "--agent-listen", self.entry_agents),
            *("--peer-listen", self.entry_peers, "--log", self.log),
        )

    def start_endpoint(self, name: str, service: str) -> None:
        """Start an endpoint and its agent."""
        agent, endpoint = free_address(), free_address()
        self._start_agent(f"agent-{name}", agent)
        self.processes.start(
            name,
            "briardeal_standins.endpoint",
            *("--name", name, "--service", service, "--listen", endpoint, "--agent", agent),
        )

    def start_worker(self, name: str, accelerators: int) -> None:
        """Start a worker and its agent."""
        agent, worker = free_address(), free_address()
        self.processes.start(name, "briardeal_standins.worker", "--listen", worker)
        self._start_agent(
            f"agent-{name}", agent, "--worker", worker, "--accelerators", str(accelerators)
        )

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the entry takes requests."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(session):
                await asyncio.sleep(POLL_S)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        try:
            async with session.get(f"http://{self.entry}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _start_agent(self, name: str, listen: str, *arguments: str) -> None:
        self.processes.start(
            name,
            "briardeal_agent",
            "run",
            *("--agent-id", name, "--region", "ljubljana", "--failure-domain", "lj-1"),
            *("--listen", listen, "--entries", self.entry_agents, *arguments),
        )

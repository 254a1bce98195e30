"""Processes of the demo: a log, entries, endpoints and workers with their agents."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import attrs

from briardeal_standins.processes import Processes, free_address

READY_TIMEOUT_S = 20.0
POLL_S = 0.1
ENTRIES = ("entry-1", "entry-2")
LOCATION = ("--region", "ljubljana", "--failure-domain", "lj-1")


@attrs.frozen
class EntryAddresses:
    """Addresses on which one entry listens."""

    http: str = attrs.field(factory=free_address)
    agents: str = attrs.field(factory=free_address)
    peers: str = attrs.field(factory=free_address)


@attrs.frozen
class HttpReply:
    """Status and decoded body of an HTTP response."""

    status: int
    content: Any


@attrs.define
class Site:
    """Processes of the demo and their addresses.

    Parameters
    ----------
    session
        Sends the HTTP calls of the demo.
    """

    session: aiohttp.ClientSession
    processes: Processes = attrs.field(factory=Processes)
    log: str = attrs.field(factory=free_address)
    entries: dict[str, EntryAddresses] = attrs.field(
        factory=lambda: {name: EntryAddresses() for name in ENTRIES}
    )
    endpoints: dict[str, str] = attrs.field(factory=dict)

    def start_log_and_entries(self) -> None:
        """Start the log and the entries."""
        self.processes.start("log", "briardeal_standins.log", "--listen", self.log)
        for name, entry in self.entries.items():
            peers = [other.peers for other in self.entries.values() if other is not entry]
            self.processes.start(
                name,
                "briardeal",
                "serve",
                *("--entry-id", name, "--listen", entry.http, "--agent-listen", entry.agents),
                *("--peer-listen", entry.peers, "--peers", ",".join(peers), "--log", self.log),
                *LOCATION,
            )

    def start_endpoint(self, name: str, service: str) -> None:
        """Start an endpoint and its agent."""
        agent, self.endpoints[name] = free_address(), free_address()
        self._start_agent(f"agent-{name}", agent)
        self.processes.start(
            name,
            "briardeal_standins.endpoint",
            *("--name", name, "--service", service),
            *("--listen", self.endpoints[name], "--agent", agent),
        )

    def start_worker(self, name: str, accelerators: int) -> None:
        """Start a worker and its agent; the agent has the name of the worker."""
        agent, worker = free_address(), free_address()
        self.processes.start(f"platform-{name}", "briardeal_standins.worker", "--listen", worker)
        self._start_agent(name, agent, "--worker", worker, "--accelerators", str(accelerators))

    async def wait_ready(self) -> None:
        """Wait until all entries are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in self.entries:
                while (await self.call("GET", name, "/readyz")).status != 200:
                    await asyncio.sleep(POLL_S)

    async def call(
        self, method: str, entry: str, path: str, body: Any = None, **headers: str
    ) -> HttpReply:
        """Call an entry; a reply with status 0 means that there was no response."""
        url = f"http://{self.entries[entry].http}{path}"
        named_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self._call(method, url, body, named_headers)

    async def count_executions(self, key: str) -> int:
        """Return the number of executions of a key at all endpoints."""
        replies = [
            await self._call("GET", f"http://{address}/v1/executions", None, {})
            for address in self.endpoints.values()
        ]
        return sum(reply.content.get(key, 0) for reply in replies if reply.status == 200)

    async def _call(self, method: str, url: str, body: Any, headers: dict[str, str]) -> HttpReply:
        data = {"data": body} if isinstance(body, str) else {"json": body}
        try:
            async with self.session.request(method, url, headers=headers, **data) as response:
                return HttpReply(response.status, await response.json())
        except aiohttp.ClientError:
            return HttpReply(0, None)

    def _start_agent(self, name: str, listen: str, *arguments: str) -> None:
        entries = ",".join(entry.agents for entry in self.entries.values())
        self.processes.start(
            name,
            "briardeal_agent",
            "run",
            *("--agent-id", name, "--listen", listen, "--entries", entries),
            *LOCATION,
            *arguments,
        )

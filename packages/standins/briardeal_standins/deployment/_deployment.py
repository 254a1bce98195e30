"""Entries, agents and endpoints of several regions with one log, on the clock of the loop."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briardeal.config import EntrySettings
from briardeal.structure import Entry
from briardeal_agent.config import AgentSettings
from briardeal_agent.structure import Agent
from briardeal_core.clock import WallClock
from briardeal_core.settings import load_settings
from briardeal_protocol.connections import MemoryNetwork
from briardeal_protocol.peers import MemoryPeerFabric
from briardeal_standins.endpoint import MemoryEndpoint, MemoryEndpointClient
from briardeal_standins.log import LogStore, MemoryLog
from briardeal_standins.worker import StandinWorker

if TYPE_CHECKING:
    from briardeal_core.settings import Settings

EPOCH_S = 1_000_000_000.0
SETTLE_S = 10.0
REGION_LATENCY_S = 0.008


class Deployment:
    """Entries and agents that are connected in memory.

    Parameters
    ----------
    entries
        Region of each entry by name.
    retention_s
        Retention of the log, in seconds.
    seed
        Seed of all random choices.

    Attributes
    ----------
    running
        Running entries by name.
    logs
        Log client of each entry, with its faults.
    workers
        Simulated platform of each worker, by the name of its agent.
    endpoints, addresses
        Endpoints by name and by address.
    """

    def __init__(
        self, entries: dict[str, str], retention_s: float = 86_400.0, seed: int = 1
    ) -> None:
        self.regions = entries
        self.retention_s = retention_s
        self.rng = random.Random(seed)
        self.clock = WallClock(EPOCH_S)
        self.store = LogStore(retention_s, self.clock)
        self.network = MemoryNetwork()
        self.fabric = MemoryPeerFabric()
        self.running: dict[str, Entry] = {}
        self.logs: dict[str, MemoryLog] = {}
        self.agents: dict[str, Agent] = {}
        self.workers: dict[str, StandinWorker] = {}
        self.endpoints: dict[str, MemoryEndpoint] = {}
        self.addresses: dict[str, MemoryEndpoint] = {}

    async def __aenter__(self) -> Deployment:
        """Start all entries and wait until they are connected to each other."""
        for name, region in self.regions.items():
            for other, other_region in self.regions.items():
                if region != other_region:
                    self.fabric.delays[_peer_address(name), _peer_address(other)] = REGION_LATENCY_S
        for name in self.regions:
            await self.start_entry(name)
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop all endpoints, agents and entries."""
        for endpoint in self.endpoints.values():
            if endpoint.is_up:
                endpoint.kill()
        agents = list(self.agents.values())
        for name in list(self.agents):
            self.kill_agent(name)
        for name in list(self.running):
            await self.kill_entry(name)
        for agent in agents:
            await agent.stop()

    async def start_entry(self, name: str) -> Entry:
        """Start an entry, or a replacement of a killed entry."""
        flags = {
            "entry_id": name,
            "region": self.regions[name],
            "failure_domain": f"{self.regions[name]}-1",
            "agent_listen": _agent_address(name),
            "peer_listen": _peer_address(name),
            "peers": ",".join(_peer_address(other) for other in self.regions),
            "log": "127.0.0.1:1",
            "log_retention_s": str(self.retention_s),
        }
        self.logs.setdefault(name, MemoryLog(self.store))
        entry = Entry(
            _load(EntrySettings, flags),
            self.network,
            self.logs[name],
            MemoryEndpointClient(self.addresses),
            self.clock,
            random.Random(self.rng.random()),
            self.fabric.network_at(_peer_address(name)),
        )
        self.running[name] = entry
        await entry.start()
        return entry

    async def kill_entry(self, name: str) -> None:
        """Kill an entry without notice to its peers, the log or its agents."""
        entry = self.running.pop(name)
        log = self.logs.pop(name)
        self.logs[name] = MemoryLog(self.store, log.faults)
        log.faults = type(log.faults)(outage=True)
        self.network.cut(_agent_address(name))
        self.fabric.kill(_peer_address(name))
        entry.peers.network = None
        for task in list(entry.peers.tasks):
            task.cancel()
        await entry.stop()
        self.network.unreachable.discard(_agent_address(name))

    async def replace_all(self) -> None:
        """Kill all entries, then start replacements."""
        for name in list(self.running):
            await self.kill_entry(name)
        for name in self.regions:
            await self.start_entry(name)

    def set_log_outage(self, *names: str, down: bool = True) -> None:
        """Start or end an outage of the log for some entries, or for all if none is named."""
        for name in names or self.regions:
            self.logs[name].faults.outage = down

    def isolate(self, region: str) -> None:
        """Drop all messages of a region to other regions, and cut it off from the log."""
        isolated = [name for name, entry_region in self.regions.items() if entry_region == region]
        outside = [name for name in self.regions if name not in isolated]
        self.fabric.cut(
            [_peer_address(name) for name in isolated], [_peer_address(name) for name in outside]
        )
        self.set_log_outage(*isolated)

    def heal(self) -> None:
        """End all network partitions and outages of the log."""
        self.fabric.heal()
        self.set_log_outage(down=False)

    async def add_worker(self, name: str, region: str, accelerators: int = 8) -> None:
        """Add a VM with accelerators and its agent."""
        self.workers[name] = StandinWorker()
        await self._start_agent(name, region, accelerators)

    async def add_endpoint(self, name: str, service: str, region: str) -> MemoryEndpoint:
        """Add a VM with an endpoint and its agent."""
        endpoint = MemoryEndpoint(
            name, service, f"{name}:80", lambda: self._get_registration(name), 8, lambda: 0.05
        )
        self.endpoints[name] = endpoint
        self.addresses[endpoint.address] = endpoint
        await self._start_agent(name, region, 0)
        endpoint.start()
        return endpoint

    def kill_agent(self, name: str) -> None:
        """Kill an agent without a graceful shutdown."""
        agent = self.agents.pop(name)
        agent.set_shutdown()
        for task in agent.links.tasks.values():
            task.cancel()

    async def _start_agent(self, name: str, region: str, accelerators: int) -> None:
        local_entries = [
            entry for entry, entry_region in self.regions.items() if entry_region == region
        ]
        flags = {
            "agent_id": name,
            "region": region,
            "failure_domain": f"{region}-1",
            "entries": ",".join(_agent_address(entry) for entry in local_entries),
            "accelerators": str(accelerators),
        }
        worker = self.workers.get(name)
        if worker is not None:
            flags["worker"] = "127.0.0.1:2"
        settings = _load(AgentSettings, flags)
        rng = random.Random(self.rng.random())
        self.agents[name] = Agent(settings, self.network, worker, self.clock, rng)
        await self.agents[name].start()

    def _get_registration(self, name: str) -> object | None:
        agent = self.agents.get(name)
        return None if agent is None else agent.registration


def _agent_address(name: str) -> str:
    return f"127.0.0.1:{_port(name)}"


def _peer_address(name: str) -> str:
    return f"127.0.0.2:{_port(name)}"


def _port(name: str) -> int:
    return 1000 + sum(name.encode())


def _load(kind: type[Settings], flags: dict[str, str]) -> Settings:
    settings, report = load_settings(kind, flags, {})
    if settings is None:
        raise ValueError("; ".join(report.errors))
    return settings

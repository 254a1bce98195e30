"""Entries, agents and endpoints of one region in one event loop."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from briardeal.config import EntrySettings
from briardeal.requests import Answer, Request
from briardeal.structure import Entry
from briardeal_agent.config import AgentSettings
from briardeal_agent.structure import Agent
from briardeal_core.clock import WallClock
from briardeal_protocol.connections import MemoryNetwork
from briardeal_standins.endpoint import MemoryEndpoint, MemoryEndpointClient
from briardeal_standins.log import MemoryLog
from briardeal_standins.site._calls import Call

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "sampling"
REGION = "ljubljana"
SETTLE_S = 5.0
EPOCH_S = 1_000_000_000.0


@attrs.define(eq=False)
class Site:
    """Entries, agents and endpoints under test, with a record of all calls.

    Parameters
    ----------
    entries, endpoints
        Number of entries and of endpoints.
    seed
        Seed of all random choices.
    slots
        Slots of each endpoint.
    work_s
        Returns the duration of the next request at an endpoint, in seconds.

    Attributes
    ----------
    calls
        All calls so far.
    running
        Running entries by name.
    clients
        Client through which each entry sends requests to endpoints.
    agents
        Running agents by the name of their VM.
    vms
        Endpoint of each VM by name.
    call_tasks
        Tasks that send calls of the load, by entry.
    pending_calls
        Calls without an outcome so far, by entry.
    """

    entries: int = 2
    endpoints: int = 3
    seed: int = 1
    slots: int = 8
    work_s: Callable[[], float] = lambda: 0.05
    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    calls: list[Call] = attrs.field(factory=list)
    running: dict[str, Entry] = attrs.field(factory=dict)
    clients: dict[str, MemoryEndpointClient] = attrs.field(factory=dict)
    agents: dict[str, Agent] = attrs.field(factory=dict)
    vms: dict[str, MemoryEndpoint] = attrs.field(factory=dict)
    call_tasks: dict[str, list[asyncio.Task[Call]]] = attrs.field(factory=dict)
    pending_calls: dict[str, list[Call]] = attrs.field(factory=dict)
    log: MemoryLog = attrs.field(factory=MemoryLog)
    rng: random.Random = attrs.field(init=False)

    async def __aenter__(self) -> Site:
        """Start all entries, endpoints and agents and wait until requests can be routed."""
        self.rng = random.Random(self.seed)
        for number in range(self.entries):
            await self.start_entry(f"entry-{number}")
        for number in range(self.endpoints):
            self.add_endpoint(f"vm-{number}")
            await self.start_agent(f"vm-{number}")
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop all endpoints, agents and entries."""
        for vm in self.vms.values():
            if vm.is_up:
                vm.kill()
        for name in list(self.agents):
            self.kill_agent(name)
        for entry in self.running.values():
            await entry.stop()

    async def kill_entry(self, name: str) -> None:
        """Kill an entry and cancel the requests that it is sending."""
        self.mark_calls_halted(name)
        self.network.cut(f"{name}:1")
        for task in self.call_tasks.pop(name, []):
            task.cancel()
        entry = self.running.pop(name)
        entry.ready = False
        await entry.stop()
        self.network.unreachable.discard(f"{name}:1")

    def pause_entry(self, name: str) -> None:
        """Pause an entry: its requests wait, and its connections to agents go silent."""
        self.running[name].ready = False
        self.clients[name].resumed.clear()
        self.network.silence(f"{name}:1")

    def resume_entry(self, name: str) -> None:
        """Resume a paused entry."""
        self.mark_calls_halted(name)
        self.clients[name].resumed.set()
        self.running[name].ready = True

    def mark_calls_halted(self, name: str) -> None:
        """Mark the pending calls of an entry as those that it could not answer in time."""
        for call in self.pending_calls.get(name, ()):
            call.entry_halted = True

    async def start_entry(self, name: str) -> Entry:
        """Start an entry, or a replacement of a killed entry."""
        settings = EntrySettings(
            entry_id=name,
            region=REGION,
            failure_domain="lj-1",
            listen="caller:0",
            agent_listen=f"{name}:1",
            peer_listen=f"{name}:2",
            peers=(),
            log="log:1",
            log_retention_s=86_400.0,
            agent_lease_s=3.0,
            request_timeout_s=30.0,
            drain_timeout_s=60.0,
        )
        addresses = {address: vm for vm in self.vms.values() for address in [vm.address]}
        self.clients[name] = MemoryEndpointClient(addresses)
        rng = random.Random(self.rng.random())
        entry = Entry(
            settings, self.network, self.log, self.clients[name], self.create_clock(), rng
        )
        self.running[name] = entry
        await entry.start()
        return entry

    def add_endpoint(self, name: str) -> None:
        """Add a VM with an endpoint."""
        vm = MemoryEndpoint(
            name,
            SERVICE,
            f"{name}:80",
            lambda: self._get_registration(name),
            self.slots,
            self.work_s,
        )
        self.vms[name] = vm
        for client in self.clients.values():
            client.endpoints[vm.address] = vm
        vm.start()

    async def start_agent(self, name: str) -> Agent:
        """Start the agent of a VM, or a replacement of a killed agent."""
        settings = AgentSettings(
            agent_id=name,
            region=REGION,
            failure_domain="lj-1",
            rack="rack",
            listen=f"{name}:70",
            entries=tuple(f"{entry}:1" for entry in self.running),
            worker=None,
            accelerators=0,
            endpoint_lease_s=3.0,
            drain_timeout_s=30.0,
        )
        rng = random.Random(self.rng.random())
        agent = Agent(settings, self.network, None, self.create_clock(), rng)
        self.agents[name] = agent
        await agent.start()
        return agent

    def kill_agent(self, name: str) -> None:
        """Kill an agent without a graceful shutdown."""
        agent = self.agents.pop(name)
        agent.set_shutdown()
        for task in agent.links.tasks.values():
            task.cancel()

    def silence_link(self, agent: str, entry: str) -> None:
        """Silence the open connection between an agent and an entry."""
        connection = self.agents[agent].links.links[f"{entry}:1"].connection
        connection.silent = connection.remote.silent = True

    async def send(
        self,
        entry: str,
        body: bytes,
        *,
        timeout_s: float = 5.0,
        key: str = "",
        customer: str = "audit",
    ) -> Call:
        """Send a request and record its outcome."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        request = Request(SERVICE, customer, body, "text/plain", deadline_s, not key, key)
        call = Call(body, not key, deadline_s)
        self.calls.append(call)
        self.pending_calls.setdefault(entry, []).append(call)
        outcome = await self.running[entry].handle(request)
        self.pending_calls[entry].remove(call)
        call.ended_s = loop.time()
        if isinstance(outcome, Answer):
            call.outcome = "answer" if not outcome.failed else "ran"
            call.answer = outcome.body
        else:
            call.outcome = outcome.run_state.value
            call.reason = outcome.reason.code
            call.retry_after_s = outcome.retry_after_s or 0.0
        return call

    def issue_key(self, entry: str) -> str:
        """Return a new idempotency key issued by an entry."""
        return str(self.running[entry].keys.issue())

    def create_clock(self) -> WallClock:
        """Return a wall clock that starts at the same time in every run."""
        return WallClock(EPOCH_S)

    def _get_registration(self, name: str) -> object | None:
        agent = self.agents.get(name)
        return None if agent is None else agent.registration

"""A simulated region in one event loop, with faults that tests inject."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs

from briardeal.jobs import FirstFitScheduler, JobService
from briardeal.membership import AgentListener, AgentTable
from briardeal_agent.config import AgentSettings
from briardeal_agent.structure import Agent
from briardeal_core.clock import WallClock, loop_time
from briardeal_core.jobs import JobRequest
from briardeal_core.metrics import Metrics
from briardeal_protocol.connections import MemoryNetwork
from briardeal_protocol.messages import EntryHello
from briardeal_standins.log import LogStore
from briardeal_standins.worker import StandinWorker
from tests.entry.jobs.pausable import PausableLog, PausableNetwork, PausableWorker, ProcessState

if TYPE_CHECKING:
    from collections.abc import Callable

REGION = "koper"
EPOCH_S = 1_000_000.0


@attrs.frozen
class ReportedLogState:
    """Log state of a peer as its last heartbeat reported it."""

    entry_id: str
    heartbeat_age_s: float
    read_age_s: float | None
    highest_token: int
    region: str = REGION


class EntryProcess:
    """One simulated entry without its HTTP server."""

    def __init__(self, cluster: Cluster, name: str, address: str) -> None:
        self.cluster = cluster
        self.name = name
        self.process_state = ProcessState()
        self.log = PausableLog(cluster.store, self.process_state)
        self.network = PausableNetwork(cluster.network, self.process_state)
        self.peer_heartbeats: dict[str, tuple[float, float | None, int]] = {}
        rng = random.Random(f"{cluster.seed}-{name}")
        self.metrics = Metrics()
        self.jobs = JobService(
            self.log,
            REGION,
            name,
            cluster.clock,
            self.metrics,
            rng,
            peers=self,
            create_scheduler=cluster.create_scheduler,
        )
        table = AgentTable(3.0, loop_time)
        hello = EntryHello(entry_id=name, incarnation=int(cluster.clock.now_s() * 1000))
        self.listener = AgentListener(self.network, address, hello, table, self.jobs)

    async def start(self) -> None:
        await self.listener.start()
        await self.jobs.start()

    async def stop(self) -> None:
        self.process_state.running.set()
        await self.jobs.stop()
        await self.listener.stop()

    def pause(self) -> None:
        self.process_state.running.clear()

    def resume(self) -> None:
        self.process_state.running.set()

    def kill(self) -> None:
        self.process_state.killed = True
        self.process_state.running.set()
        self.cluster.network.listeners.pop(self.listener.address, None)
        self.network.kill()

    def log_states(self):
        now_s = loop_time()
        return [
            ReportedLogState(name, now_s - at_s, None if age is None else age + now_s - at_s, token)
            for name, (at_s, age, token) in self.peer_heartbeats.items()
        ]


class AgentProcess:
    """One simulated agent and its worker, which keeps running when the agent is killed."""

    def __init__(self, cluster: Cluster, name: str, worker: StandinWorker, size: int) -> None:
        self.cluster = cluster
        self.name = name
        self.worker = worker
        self.size = size
        self.create_agent()

    def create_agent(self) -> None:
        self.process_state = ProcessState()
        self.network = PausableNetwork(self.cluster.network, self.process_state)
        settings = AgentSettings(
            agent_id=self.name,
            region=REGION,
            failure_domain="k-1",
            rack="k-1-1",
            listen="w:1",
            entries=self.cluster.addresses,
            worker="w:2",
            accelerators=self.size,
            endpoint_lease_s=3.0,
            drain_timeout_s=1.0,
        )
        rng = random.Random(f"{self.cluster.seed}-{self.name}-{loop_time()}")
        worker = PausableWorker(self.worker, self.process_state)
        self.agent = Agent(settings, self.network, worker, self.cluster.clock, rng)

    async def start(self) -> None:
        await self.agent.start()

    def kill(self) -> None:
        self.process_state.killed = True
        self.network.kill()
        for task in self.agent.links.tasks.values():
            task.cancel()

    async def restart(self) -> None:
        self.kill()
        self.cluster.retired.append(self.agent)
        self.create_agent()
        await self.start()


class Cluster:
    """A region: a log, entries, agents and their workers."""

    def __init__(
        self,
        entries: int = 2,
        workers: int = 4,
        accelerators: int = 8,
        seed: int = 0,
        create_scheduler: Callable = FirstFitScheduler,
    ) -> None:
        self.seed = seed
        self.create_scheduler = create_scheduler
        self.clock = WallClock(EPOCH_S)
        self.store = LogStore(clock=self.clock)
        self.network = MemoryNetwork()
        self.addresses = tuple(f"e{n}:1" for n in range(entries))
        self.entries = [EntryProcess(self, f"e{n}", f"e{n}:1") for n in range(entries)]
        self.agents = [
            AgentProcess(self, f"w{n}", StandinWorker(), accelerators) for n in range(workers)
        ]
        self.partitioned: set[frozenset[str]] = set()
        self.retired: list = []
        self.accepted: dict[str, JobRequest] = {}

    async def __aenter__(self) -> Cluster:
        for process in [*self.entries, *self.agents]:
            await process.start()
        self._heartbeats = asyncio.create_task(self._exchange_heartbeats())
        return self

    async def __aexit__(self, *_) -> None:
        self._heartbeats.cancel()
        for agent in self.agents:
            agent.kill()
            self.retired.append(agent.agent)
        for entry in self.entries:
            await entry.stop()
        for service in self.retired:
            await service.stop()

    async def _exchange_heartbeats(self) -> None:
        while True:
            for sender in self.entries:
                for receiver in self.entries:
                    self._send_heartbeat(sender, receiver)
            await asyncio.sleep(1.0)

    def _send_heartbeat(self, sender: EntryProcess, receiver: EntryProcess) -> None:
        runs = sender.process_state.running.is_set() and not sender.process_state.killed
        if sender is receiver or not runs or self._are_partitioned(sender, receiver):
            return
        ownership = sender.jobs.ownership
        receiver.peer_heartbeats[sender.name] = (
            loop_time(),
            ownership.log_age_s(),
            ownership.highest_token,
        )

    def _are_partitioned(self, one: EntryProcess, other: EntryProcess) -> bool:
        return frozenset((one.name, other.name)) in self.partitioned

    async def replace(self, index: int, name: str) -> EntryProcess:
        """Kill an entry and start another at its address."""
        old = self.entries[index]
        old.kill()
        self.retired += [old.jobs, old.listener]
        self.entries[index] = EntryProcess(self, name, self.addresses[index])
        await self.entries[index].start()
        return self.entries[index]

    def set_log_outage(self, down: bool, *entries: EntryProcess) -> None:
        """Start or end an outage of the log for the given entries, by default for all."""
        for entry in entries or self.entries:
            entry.log.faults.outage = down

    @property
    def owner(self) -> EntryProcess | None:
        """The living entry with the newest term of ownership; `None` if there is none."""
        owners = [e for e in self.entries if e.jobs.owner.term and not e.process_state.killed]
        return max(owners, key=lambda e: e.jobs.owner.term.token, default=None)

    async def wait_owner(self, other_than: EntryProcess | None = None) -> EntryProcess:
        """Wait until an entry other than the given one owns the region and makes decisions."""
        async with asyncio.timeout(300):
            while (
                (found := self.owner) is None or found is other_than or not _makes_decisions(found)
            ):
                await asyncio.sleep(0.1)
        return found

    async def submit(self, entry: EntryProcess, key: str = "", **fields) -> str:
        """Submit a job, add it to the accepted jobs and return its identifier."""
        outcome = await entry.jobs.submit(create_job(**fields), key)
        assert isinstance(outcome, JobRequest), outcome
        self.accepted[outcome.job_id] = outcome
        return outcome.job_id

    async def wait_state(self, job_id: str, *states: str, within_s: float = 600) -> None:
        """Wait until some living entry shows the job in one of the states."""
        async with asyncio.timeout(within_s):
            while not any(_state(entry, job_id) in states for entry in self.entries):
                await asyncio.sleep(0.05)

    async def wait_running(self, job_id: str, within_s: float = 600) -> None:
        """Wait until every task of a job runs on its worker."""
        async with asyncio.timeout(within_s):
            while self.count_running(job_id) < self.accepted[job_id].tasks:
                await asyncio.sleep(0.02)

    def count_running(self, job_id: str) -> int:
        """Return how many tasks of a job run on the workers."""
        count = 0
        for agent in self.agents:
            for worker_task in agent.worker.running.values():
                worker_task.advance(loop_time())
                count += worker_task.task.job_id == job_id and worker_task.ended_s is None
        return count

    def view(self, job_id: str):
        """Return the state of a job, from the living entry that has read the log furthest."""
        living = [entry.jobs for entry in self.entries if not entry.process_state.killed]
        return max(living, key=lambda jobs: jobs.follower.offset).job_table.jobs[job_id]


def _makes_decisions(entry: EntryProcess) -> bool:
    return entry.jobs.job_table.tokens.get(REGION) == entry.jobs.owner.term.token


def _state(entry: EntryProcess, job_id: str) -> str:
    view = entry.jobs.job_table.jobs.get(job_id)
    return "" if view is None or entry.process_state.killed else view.state.value


def create_job(**fields) -> JobRequest:
    known = {
        "job_id": "",
        "customer": "audit",
        "job_class": "sampling",
        "tasks": 1,
        "accelerators_per_task": 4,
        "command": "5",
    }
    return JobRequest(**{**known, **fields})

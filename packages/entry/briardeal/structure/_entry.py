"""The entry: requests, jobs and the agents of its region."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs import JobService
from briardeal.membership import AgentListener, AgentTable
from briardeal.peers import AgentLoads, PeerHooks, PeerService
from briardeal.requests import Admissions, Keys, Router
from briardeal.structure._gateway import Gateway
from briardeal.structure._readings import Readings
from briardeal.structure._sources import PeerStates, ReadLog, StoredConfiguration
from briardeal_core.clock import WallClock, loop_time
from briardeal_core.configuration.store import ConfigurationStore
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.log import AppendBudget
from briardeal_core.metrics import Metrics
from briardeal_protocol.messages import EntryHello
from briardeal_protocol.peers import Member

if TYPE_CHECKING:
    from briardeal.config import EntrySettings
    from briardeal.requests import Answer, EndpointClient, Request
    from briardeal_core.clock import Clock
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import WorkerShape
    from briardeal_core.log import Log
    from briardeal_core.reasons import Refusal
    from briardeal_protocol.connections import Network
    from briardeal_protocol.peers import PeerNetwork

DRAIN_POLL_S = 0.1
BALANCER_NOTICE_S = 2.0
"""Time in which the balancer notices that the entry is no longer ready."""

FORGET_INTERVAL_S = 10.0
RELEASE_TIMEOUT_S = 2.0
SNAPSHOTS_PER_RETENTION = 4
"""Snapshots within the log's retention, so that a torn one leaves others to fall back on."""


class Entry(Service):
    """The process between callers and endpoints.

    Parameters
    ----------
    settings
        Settings of the process.
    network
        Takes connections of agents.
    log
        The platform's log.
    client
        Sends requests to endpoints.
    clock
        Wall time.
    rng
        Source of identifiers and jitter.
    peer_network
        Opens and takes connections of other entries; `None` for an entry that stands alone.

    Attributes
    ----------
    ready
        Whether the balancer may send callers here.
    gateway
        Takes requests, also for a while after the balancer was told otherwise.
    """

    def __init__(
        self,
        settings: EntrySettings,
        network: Network,
        log: Log,
        client: EndpointClient,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        peer_network: PeerNetwork | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or WallClock()
        self.rng = rng or random.Random()
        self.incarnation = int(self.clock.now_s() * 1000)
        self.metrics = Metrics()
        self.table = AgentTable(settings.agent_lease_s, loop_time)
        self.keys = Keys(settings.entry_id, self.incarnation, self.clock.now_s)
        self.admissions = Admissions(settings.entry_id, self.incarnation, self.table, loop_time)
        self.router = Router(
            self.table, client, self.metrics, self.admissions, settings.region, self.rng
        )
        self.budget = AppendBudget()
        snapshot_interval_s = settings.log_retention_s / SNAPSHOTS_PER_RETENTION
        self.configuration = ConfigurationStore(
            log, settings.entry_id, self.budget, self.rng, self.clock, snapshot_interval_s
        )
        self.gateway = Gateway(self.keys, self.router, self.metrics)
        self.jobs = JobService(
            log,
            settings.region,
            settings.entry_id,
            self.clock,
            self.metrics,
            self.rng,
            peers=PeerStates(self),
            budget=self.budget,
            snapshot_interval_s=snapshot_interval_s,
        )
        self.job_table = self.jobs.job_table
        self.configuration.subscribe(lambda _, configuration: self._configure(configuration))
        hello = EntryHello(entry_id=settings.entry_id, incarnation=self.incarnation)
        self.agents = AgentListener(network, settings.agent_listen, hello, self.table, self.jobs)
        self.peers = self._create_peers(peer_network)
        self.gateway.forwarder = self.peers.forwarder
        self.readings = Readings(self)
        self.ready = False

    def on_init_dependencies(self) -> list[Service]:
        """Return the services that start and stop with the entry."""
        return [self.configuration, self.agents, self.jobs, self.peers]

    async def on_started(self) -> None:
        """Tell the balancer that callers may come."""
        self.ready = True
        self.gateway.accepting = True
        log_event(Event.PROCESS_STARTED, name=self.settings.entry_id)

    @Service.task
    async def _forget_idle(self) -> None:
        while not self.should_stop:
            await self.sleep(FORGET_INTERVAL_S)
            self.router.forget_idle()

    async def drain(self) -> None:
        """Tell the balancer, then take no new requests and finish those that are held."""
        self.ready = False
        log_event(Event.PROCESS_STOPPING, name=self.settings.entry_id)
        await asyncio.sleep(BALANCER_NOTICE_S)
        self.gateway.accepting = False
        timeout_s = self.settings.drain_timeout_s
        await asyncio.gather(self.peers.leave(timeout_s), self._finish_requests(timeout_s))
        await self.admissions.flush(RELEASE_TIMEOUT_S)

    async def _finish_requests(self, timeout_s: float) -> None:
        deadline_s = loop_time() + timeout_s
        while self.gateway.in_flight and loop_time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)

    async def on_shutdown(self) -> None:
        """Log the end of the process."""
        log_event(Event.PROCESS_STOPPED, name=self.settings.entry_id)

    async def handle(self, request: Request) -> Answer | Refusal:
        """Return the whole answer to a caller's request, or why there is none."""
        return await self.gateway.handle(request)

    def _configure(self, configuration: Configuration) -> None:
        self.router.set_configuration(configuration)
        self.jobs.configure(configuration)

    def render_metrics(self) -> bytes:
        """Return all metrics of this moment in the Prometheus text format."""
        self.readings.sample()
        return self.metrics.render()

    def _create_peers(self, network: PeerNetwork | None) -> PeerService:
        settings = self.settings
        myself = Member(
            entry_id=settings.entry_id,
            incarnation=self.incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_listen,
            agent_address=settings.agent_listen,
        )
        hooks = PeerHooks(
            handler=self.gateway,
            configuration=StoredConfiguration(self.configuration),
            log_status=ReadLog(self.jobs.ownership),
            loads=AgentLoads(self.table, self._count_waiting, settings.failure_domain),
            entries_changed=self.agents.set_entries,
        )
        return PeerService(myself, network, settings.peers, hooks, self.rng, self.metrics)

    def _count_waiting(self) -> int:
        jobs = self.job_table.active_in_region(self.settings.region)
        return sum(view.state is JobState.WAITING for view in jobs)

    def known_workers(self) -> list[WorkerShape]:
        """Return the workers that configuration is checked against."""
        return [entry.hello.worker.shape for entry in self.table.workers()]

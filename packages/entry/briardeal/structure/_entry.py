"""Composition of the entry from requests, jobs, agents, peers and configuration."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs import JobService
from briardeal.membership import AgentListener, AgentTable
from briardeal.peers import AgentLoads, PeerHooks, PeerService
from briardeal.requests import AdmissionClient, IdempotencyKeys, Router
from briardeal.structure._metrics import EntryMetrics
from briardeal.structure._peer_adapters import (
    ConfigurationAdapter,
    LogStatusAdapter,
    PeerLogStateAdapter,
)
from briardeal.structure._request_handler import RequestHandler
from briardeal_core.clock import WallClock, loop_time
from briardeal_core.configuration.store import ConfigurationStore
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.log import AppendRateLimiter
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
BALANCER_DETECTION_S = 2.0
"""Time until the load balancer detects that the entry is no longer ready, in seconds."""

REMOVE_IDLE_INTERVAL_S = 10.0
RELEASE_TIMEOUT_S = 2.0
SNAPSHOTS_PER_RETENTION = 4
"""Snapshots per retention period of the log; if the newest is damaged, an older one is used."""


class Entry(Service):
    """Accepts requests and jobs of callers and dispatches them to endpoints and workers.

    Parameters
    ----------
    settings
        Settings of the process.
    network
        Accepts connections of agents.
    log
        The platform's append-only log.
    client
        Sends requests to endpoints.
    clock
        Wall clock.
    rng
        Source of random identifiers and jitter.
    peer_network
        Connections to other entries; `None` for an entry that runs without peers.

    Attributes
    ----------
    ready
        Whether the load balancer may send requests to this entry.
    request_handler
        Accepts requests, also for `BALANCER_DETECTION_S` after the entry is no longer ready.
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
        self.agent_table = AgentTable(settings.agent_lease_s, loop_time)
        self.keys = IdempotencyKeys(settings.entry_id, self.incarnation, self.clock.now_s)
        self.admissions = AdmissionClient(
            settings.entry_id, self.incarnation, self.agent_table, loop_time
        )
        self.router = Router(
            self.agent_table, client, self.metrics, self.admissions, settings.region, self.rng
        )
        self.rate_limiter = AppendRateLimiter()
        snapshot_interval_s = settings.log_retention_s / SNAPSHOTS_PER_RETENTION
        self.configuration = ConfigurationStore(
            log, settings.entry_id, self.rate_limiter, self.rng, self.clock, snapshot_interval_s
        )
        self.request_handler = RequestHandler(self.keys, self.router, self.metrics)
        self.jobs = JobService(
            log,
            settings.region,
            settings.entry_id,
            self.clock,
            self.metrics,
            self.rng,
            peers=PeerLogStateAdapter(self),
            rate_limiter=self.rate_limiter,
            snapshot_interval_s=snapshot_interval_s,
        )
        self.job_table = self.jobs.job_table
        self.configuration.subscribe(
            lambda _, configuration: self._apply_configuration(configuration)
        )
        hello = EntryHello(entry_id=settings.entry_id, incarnation=self.incarnation)
        self.agents = AgentListener(
            network, settings.agent_listen, hello, self.agent_table, self.jobs
        )
        self.peers = self._create_peers(peer_network)
        self.request_handler.forwarder = self.peers.forwarder
        self.entry_metrics = EntryMetrics(self)
        self.ready = False

    def on_init_dependencies(self) -> list[Service]:
        """Return the services that start and stop with the entry."""
        return [self.configuration, self.agents, self.jobs, self.peers]

    async def on_started(self) -> None:
        """Accept requests and report readiness to the load balancer."""
        self.ready = True
        self.request_handler.accepting = True
        log_event(Event.PROCESS_STARTED, name=self.settings.entry_id)

    @Service.task
    async def _remove_idle(self) -> None:
        while not self.should_stop:
            await self.sleep(REMOVE_IDLE_INTERVAL_S)
            self.router.remove_idle()

    async def drain(self) -> None:
        """Report that the entry is not ready, then reject new requests and finish pending ones."""
        self.ready = False
        log_event(Event.PROCESS_STOPPING, name=self.settings.entry_id)
        await asyncio.sleep(BALANCER_DETECTION_S)
        self.request_handler.accepting = False
        timeout_s = self.settings.drain_timeout_s
        await asyncio.gather(self.peers.leave(timeout_s), self._finish_requests(timeout_s))
        await self.admissions.wait_for_releases(RELEASE_TIMEOUT_S)

    async def _finish_requests(self, timeout_s: float) -> None:
        deadline_s = loop_time() + timeout_s
        while self.request_handler.in_flight and loop_time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)

    async def on_shutdown(self) -> None:
        """Log the end of the process."""
        log_event(Event.PROCESS_STOPPED, name=self.settings.entry_id)

    async def handle(self, request: Request) -> Answer | Refusal:
        """Return the answer to a caller's request, or the refusal with its reason."""
        return await self.request_handler.handle(request)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.router.set_configuration(configuration)
        self.jobs.configure(configuration)

    def render_metrics(self) -> bytes:
        """Return the current metrics in the Prometheus text format."""
        self.entry_metrics.sample()
        return self.metrics.render()

    def _create_peers(self, network: PeerNetwork | None) -> PeerService:
        settings = self.settings
        local_member = Member(
            entry_id=settings.entry_id,
            incarnation=self.incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            peer_address=settings.peer_listen,
            agent_address=settings.agent_listen,
        )
        hooks = PeerHooks(
            handler=self.request_handler,
            configuration=ConfigurationAdapter(self.configuration),
            log_status=LogStatusAdapter(self.jobs.ownership),
            loads=AgentLoads(self.agent_table, self._count_waiting_jobs, settings.failure_domain),
            on_entries_changed=self.agents.set_entries,
        )
        return PeerService(local_member, network, settings.peers, hooks, self.rng, self.metrics)

    def _count_waiting_jobs(self) -> int:
        jobs = self.job_table.active_in_region(self.settings.region)
        return sum(view.state is JobState.WAITING for view in jobs)

    def known_workers(self) -> list[WorkerShape]:
        """Return the connected workers, which a new configuration is validated against."""
        return [entry.hello.worker.shape for entry in self.agent_table.workers()]

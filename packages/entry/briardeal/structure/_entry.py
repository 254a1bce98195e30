"""The entry: requests, jobs and the agents of its region."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs import JobBoard, JobService
from briardeal.membership import AgentListener, AgentTable
from briardeal.requests import Answer, IssuedKey, Keys, Router
from briardeal_core.clock import WallClock
from briardeal_core.configuration.store import ConfigurationStore
from briardeal_core.events import Event, log_event
from briardeal_core.log import AppendBudget
from briardeal_core.metrics import Metrics
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import EntryHello

if TYPE_CHECKING:
    from briardeal.config import EntrySettings
    from briardeal.requests import EndpointClient, Request
    from briardeal_core.clock import Clock
    from briardeal_core.jobs import WorkerShape
    from briardeal_core.log import Log
    from briardeal_protocol.connections import Network

SHUTDOWN_RETRY_S = 0.5
DRAIN_POLL_S = 0.1


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
    """

    def __init__(
        self,
        settings: EntrySettings,
        network: Network,
        log: Log,
        client: EndpointClient,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock or WallClock()
        self.rng = rng or random.SystemRandom()
        self.incarnation = int(self.clock.now_s() * 1000)
        self.metrics = Metrics()
        self.table = AgentTable(settings.agent_lease_s, _loop_time)
        self.keys = Keys(settings.entry_id, self.incarnation, self.clock.now_s)
        self.router = Router(self.table, client, self.metrics)
        self.budget = AppendBudget()
        self.configuration = ConfigurationStore(
            log, settings.entry_id, self.budget, self.rng, self.clock
        )
        self.board = JobBoard()
        self.jobs = JobService(log, self.board, self.table)
        hello = EntryHello(entry_id=settings.entry_id, incarnation=self.incarnation)
        self.agents = AgentListener(network, settings.agent_listen, hello, self.table, self.jobs)
        self.ready = False
        self.in_flight = 0

    def on_init_dependencies(self) -> list[Service]:
        """Return the services that start and stop with the entry."""
        return [self.configuration, self.agents, self.jobs]

    async def on_started(self) -> None:
        """Tell the balancer that callers may come."""
        self.ready = True
        log_event(Event.PROCESS_STARTED, name=self.settings.entry_id)

    async def drain(self) -> None:
        """Take no new requests and finish those that are held."""
        self.ready = False
        log_event(Event.PROCESS_STOPPING, name=self.settings.entry_id)
        deadline_s = _loop_time() + self.settings.drain_timeout_s
        while self.in_flight and _loop_time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)

    async def on_shutdown(self) -> None:
        """Log the end of the process."""
        log_event(Event.PROCESS_STOPPED, name=self.settings.entry_id)

    def known_workers(self) -> list[WorkerShape]:
        """Return the workers that configuration is checked against."""
        return [entry.hello.worker.shape for entry in self.table.workers()]

    async def handle(self, request: Request) -> Answer | Refusal:
        """Return the whole answer to a request, or why there is none."""
        if not self.ready:
            return self._refuse(
                Refusal(Reason.SHUTTING_DOWN, RunState.NOT_RUN, SHUTDOWN_RETRY_S), request
            )
        self.in_flight += 1
        try:
            outcome = await self._handle(request)
        finally:
            self.in_flight -= 1
        return self._refuse(outcome, request) if isinstance(outcome, Refusal) else outcome

    async def _handle(self, request: Request) -> Answer | Refusal:
        if request.idempotent:
            return await self.router.route(request)
        if not request.key:
            return Refusal(Reason.KEY_REQUIRED, RunState.NOT_RUN)
        key = IssuedKey.parse(request.key)
        if key is None:
            return Refusal(Reason.KEY_NOT_ISSUED, RunState.NOT_RUN)
        if not self.keys.is_home(key):
            return Refusal(Reason.KEY_HOME_LOST, RunState.UNKNOWN)
        return await self.keys.run_once(key, lambda: self.router.route(request))

    def _refuse(self, refusal: Refusal, request: Request) -> Refusal:
        self.metrics.count_refusal(refusal.reason)
        log_event(
            Event.REQUEST_REFUSED,
            reason=refusal.reason.code,
            service=request.service,
            customer=request.customer,
            run_state=refusal.run_state.value,
        )
        return refusal


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

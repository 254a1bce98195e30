"""The agent: admits requests to an endpoint, runs tasks of a worker and connects to entries."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mode import Service

from briardeal_agent.announcements import EndpointRegistration
from briardeal_agent.links import EntryLinks
from briardeal_agent.permits import QUARANTINE_S, PermitTable
from briardeal_agent.tasks import TaskReporter, TaskTable
from briardeal_core.clock import WallClock, loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import WorkerShape
from briardeal_core.metrics import Metrics
from briardeal_core.reasons import Reason
from briardeal_protocol.messages import (
    Admit,
    AgentHello,
    AgentLeaving,
    GangsWhole,
    NotAdmitted,
    Release,
    ReserveTask,
    StartTask,
    StopTask,
    TakeInventory,
    Tasks,
    WorkerState,
)

if TYPE_CHECKING:
    from briardeal_agent.config import AgentSettings
    from briardeal_agent.links import EntryLink
    from briardeal_agent.workers import Worker
    from briardeal_core.clock import Clock
    from briardeal_protocol.connections import Network
    from briardeal_protocol.messages import (
        Admitted,
        AgentMessage,
        EndpointState,
        EntryHello,
        EntryMessage,
        TaskStatus,
    )

TASK_POLL_S = 0.5
DRAIN_POLL_S = 0.1


class Agent(Service):
    """Agent on the VM of one endpoint or worker.

    Parameters
    ----------
    settings
        Settings of the process.
    network
        Opens connections to entries.
    worker
        The worker platform's API on this VM; `None` if the VM runs no tasks.
    clock
        Wall clock.
    rng
        Random numbers for jitter.
    """

    def __init__(
        self,
        settings: AgentSettings,
        network: Network,
        worker: Worker | None = None,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.network = network
        self.clock = clock or WallClock()
        self.rng = rng or random.Random()
        self.incarnation = int(self.clock.now_s() * 1000)
        self.metrics = Metrics()
        self.permits = PermitTable(loop_time, settings.agent_id, QUARANTINE_S)
        self.registration = EndpointRegistration(self.permits, settings.endpoint_lease_s)
        self.tasks: TaskTable | None = None
        if worker is not None:
            self.tasks = TaskTable(worker, settings.accelerators, loop_time)
            self.reporter = TaskReporter(self.tasks)
        self.links = EntryLinks(self, network, self.rng, settings.entries)
        self.leaving = False

    async def on_start(self) -> None:
        """Connect to the entries, on a worker only after its tasks have been listed."""
        if self.tasks is not None:
            self.add_future(self._run_tasks())
        else:
            self.connect_entries(self.settings.entries)
        log_event(Event.PROCESS_STARTED, name=self.settings.agent_id)

    async def on_stop(self) -> None:
        """Reject new requests, wait for admitted ones and close the links."""
        self.leaving = True
        self.permits.leaving = True
        log_event(Event.PROCESS_STOPPING, name=self.settings.agent_id)
        await self._broadcast(AgentLeaving())
        await self._drain()
        await self.links.close()
        log_event(Event.PROCESS_STOPPED, name=self.settings.agent_id)

    @Service.task
    async def _expire_leases(self) -> None:
        while not self.should_stop:
            await self.sleep(self.settings.endpoint_lease_s / 3)
            self.registration.expire()
            self.links.remove_lost()

    async def _run_tasks(self) -> None:
        while not await self.tasks.restore():
            await self.sleep(TASK_POLL_S)
        self.connect_entries(self.settings.entries)
        while not self.should_stop:
            await self.sleep(TASK_POLL_S)
            changed = await self.tasks.poll()
            if changed:
                await self._broadcast(self._create_task_message(*changed))
            report = self.reporter.next_report()
            if report is not None:
                await self._broadcast(report)

    def create_hello(self) -> AgentHello:
        """Return the first message of a connection."""
        return AgentHello(
            agent_id=self.settings.agent_id,
            incarnation=self.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            endpoint=self.endpoint_state(),
            worker=self._create_worker_state(),
            tasks=self.tasks.inventory() if self.tasks is not None else (),
        )

    def endpoint_state(self) -> EndpointState | None:
        """Return the state of the endpoint."""
        return self.permits.endpoint_state()

    def connect_entries(self, addresses: tuple[str, ...]) -> None:
        """Open links to entries that have none yet."""
        self.links.connect(addresses)

    def handle_lost_entry(self, entry: EntryHello) -> None:
        """Mark the permits of an entry as orphaned after its connection was lost."""
        self.permits.handle_lost_entry(entry)

    async def handle_message(self, link: EntryLink, message: EntryMessage) -> AgentMessage | None:
        """Execute an order and return the answer, if any."""
        if isinstance(message, Admit):
            return self._admit(link.entry, message)
        if isinstance(message, Release):
            self.permits.release(link.entry, message)
            return None
        if self.tasks is None:
            return None
        if isinstance(message, GangsWhole):
            self.reporter.apply_confirmation(message)
            return None
        if isinstance(message, TakeInventory):
            statuses = self.tasks.raise_fence(message)
            return self._create_task_message(*statuses, call_id=message.call_id)
        status = await self._handle_task_order(message)
        return self._create_task_message(status, call_id=message.call_id)

    def _admit(self, entry: EntryHello, message: Admit) -> Admitted | NotAdmitted:
        answer = self.permits.admit(entry, message)
        if isinstance(answer, NotAdmitted):
            self.metrics.count_refusal(Reason[answer.reason.upper()])
        return answer

    async def _handle_task_order(self, message: EntryMessage) -> TaskStatus:
        if isinstance(message, ReserveTask):
            return self.tasks.reserve(message)
        if isinstance(message, StartTask):
            return await self.tasks.start(message)
        assert isinstance(message, StopTask), message
        return await self.tasks.stop(message)

    def _create_task_message(self, *statuses: TaskStatus, call_id: int = 0) -> Tasks:
        return Tasks(tasks=statuses, fence=self.tasks.fence, call_id=call_id)

    async def _broadcast(self, message: AgentMessage) -> None:
        await self.links.broadcast(message)

    async def _drain(self) -> None:
        deadline_s = loop_time() + self.settings.drain_timeout_s
        while self.permits.held and loop_time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
            self.permits.expire()

    def _create_worker_state(self) -> WorkerState | None:
        if self.tasks is None:
            return None
        shape = WorkerShape(
            worker_id=self.settings.agent_id,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            rack=self.settings.rack,
            accelerators=self.settings.accelerators,
        )
        return WorkerState(shape=shape, fence=self.tasks.fence)

"""The agent: admission for an endpoint, tasks of a worker and links to entries."""

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
    """The process beside one endpoint or worker.

    Parameters
    ----------
    settings
        Settings of the process.
    network
        Opens connections to entries.
    worker
        The platform's API on this VM, or `None` where it runs no tasks.
    clock
        Wall time.
    rng
        Source of jitter.
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
            self.reports = TaskReporter(self.tasks)
        self.links = EntryLinks(self, network, self.rng, settings.entries)
        self.leaving = False

    async def on_start(self) -> None:
        """Connect to the entries, once the tasks that the platform runs are known."""
        if self.tasks is not None:
            self.add_future(self._run_tasks())
        else:
            self.learn_entries(self.settings.entries)
        log_event(Event.PROCESS_STARTED, name=self.settings.agent_id)

    async def on_stop(self) -> None:
        """Take no new work, finish what is held and close the links."""
        self.leaving = True
        self.permits.leaving = True
        log_event(Event.PROCESS_STOPPING, name=self.settings.agent_id)
        await self._tell_all(AgentLeaving())
        await self._drain()
        await self.links.close()
        log_event(Event.PROCESS_STOPPED, name=self.settings.agent_id)

    @Service.task
    async def _watch_endpoint(self) -> None:
        while not self.should_stop:
            await self.sleep(self.settings.endpoint_lease_s / 3)
            self.registration.expire()
            self.links.forget_lost()

    async def _run_tasks(self) -> None:
        while not await self.tasks.restore():
            await self.sleep(TASK_POLL_S)
        self.learn_entries(self.settings.entries)
        while not self.should_stop:
            await self.sleep(TASK_POLL_S)
            changed = await self.tasks.poll()
            if changed:
                await self._tell_all(self._task_message(*changed))
            report = self.reports.due()
            if report is not None:
                await self._tell_all(report)

    def hello(self) -> AgentHello:
        """Return the first message of a connection."""
        return AgentHello(
            agent_id=self.settings.agent_id,
            incarnation=self.incarnation,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            endpoint=self.endpoint_state(),
            worker=self._worker_state(),
            tasks=self.tasks.inventory() if self.tasks is not None else (),
        )

    def endpoint_state(self) -> EndpointState | None:
        """Return the state of the endpoint."""
        return self.permits.state()

    def learn_entries(self, addresses: tuple[str, ...]) -> None:
        """Open a link to every entry that is not linked yet."""
        self.links.learn(addresses)

    def lose_entry(self, entry: EntryHello) -> None:
        """Take note that the connection to an entry was lost."""
        self.permits.lose_entry(entry)

    async def answer(self, link: EntryLink, message: EntryMessage) -> AgentMessage | None:
        """Carry out an order and return the answer."""
        if isinstance(message, Admit):
            return self._admit(link.entry, message)
        if isinstance(message, Release):
            self.permits.release(link.entry, message)
            return None
        if self.tasks is None:
            return None
        if isinstance(message, GangsWhole):
            self.reports.confirm(message)
            return None
        if isinstance(message, TakeInventory):
            statuses = self.tasks.raise_fence(message)
            return self._task_message(*statuses, call_id=message.call_id)
        status = await self._answer_task(message)
        return self._task_message(status, call_id=message.call_id)

    def _admit(self, entry: EntryHello, message: Admit) -> Admitted | NotAdmitted:
        answer = self.permits.admit(entry, message)
        if isinstance(answer, NotAdmitted):
            self.metrics.count_refusal(Reason[answer.reason.upper()])
        return answer

    async def _answer_task(self, message: EntryMessage) -> TaskStatus:
        if isinstance(message, ReserveTask):
            return self.tasks.reserve(message)
        if isinstance(message, StartTask):
            return await self.tasks.start(message)
        assert isinstance(message, StopTask), message
        return await self.tasks.stop(message)

    def _task_message(self, *statuses: TaskStatus, call_id: int = 0) -> Tasks:
        return Tasks(tasks=statuses, fence=self.tasks.fence, call_id=call_id)

    async def _tell_all(self, message: AgentMessage) -> None:
        await self.links.tell_all(message)

    async def _drain(self) -> None:
        deadline_s = loop_time() + self.settings.drain_timeout_s
        while self.permits.held and loop_time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
            self.permits.expire()

    def _worker_state(self) -> WorkerState | None:
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

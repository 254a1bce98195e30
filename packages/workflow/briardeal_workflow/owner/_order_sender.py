"""Sending of orders to agents; the attempts of start orders are recorded in the store before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.control import StartOrder, StartOutcome, StartResult, StopOrder
from briardeal_workflow.owner._reports import log_start_result
from briardeal_workflow.owner._start_records import encode_starts
from briardeal_workflow.owner._timing import RESEND_TIMEOUT_S
from briardeal_workflow.planning import AttemptOutcome, AttemptPhase, StartTask, StopTask
from briardeal_workflow.store import Fenced, Record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Set

    from briardeal_core.clock import Clock
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.owner._agents import AgentState
    from briardeal_workflow.owner._control_server import ControlServer
    from briardeal_workflow.planning import Attempt, Order, Planner
    from briardeal_workflow.store import FencedWriter

MAX_APPEND_ATTEMPTS = 10_000
"""Number of attempts in the records of one append; each takes up to 100 bytes of 2 MB."""


@attrs.define(eq=False)
class UnsentStart:
    """A start order whose record is not stored yet.

    Attributes
    ----------
    order, decided_s
        Order, and when it was decided, on the loop's clock.
    """

    order: StartTask
    decided_s: float


class OrderSender:
    """Sends the orders of the planner, each start once the store has its record.

    The record of a VM lists all attempts that may run there. A new owner appends to the same topic
    before it reads the records, so that it finds each start that an earlier owner may still order.
    The append also proves that no other owner had taken over when the job of the start became
    known.

    Parameters
    ----------
    epoch, writer
        Fencing token, and writer to the topic of start records.
    planner, agent_states, control_server
        Planner that decides, state of agents by name, and connections to them.
    pending_agents
        Agents that have not reported since the takeover; their records are not removed.
    may_order
        Returns whether the owner may send orders now.
    wake
        Set when the planner has to decide again.
    clock, metrics
        Wall time, and metrics that record the delay of first starts.

    Attributes
    ----------
    unsent
        Starts that have not been sent yet, by VM, task and number, in the order of their decisions.
    recorded
        Attempts that the store lists by VM.
    lists_all_starts
        Whether the store lists all attempts that this and earlier owners may have started.
    decided
        Set when starts wait for their record.
    """

    def __init__(
        self,
        epoch: int,
        writer: FencedWriter,
        planner: Planner,
        agent_states: dict[str, AgentState],
        control_server: ControlServer,
        pending_agents: Set[str],
        may_order: Callable[[], bool],
        wake: asyncio.Event,
        clock: Clock,
        metrics: WorkflowMetrics,
    ) -> None:
        self.epoch = epoch
        self.writer = writer
        self.planner = planner
        self.agent_states = agent_states
        self.control_server = control_server
        self.pending_agents = pending_agents
        self.may_order = may_order
        self.wake = wake
        self.clock = clock
        self.metrics = metrics
        self.unsent: dict[tuple[str, TaskId, int], UnsentStart] = {}
        self.recorded: dict[str, frozenset[tuple[TaskId, int]]] = {}
        self.lists_all_starts = False
        self.decided = asyncio.Event()

    async def run(self) -> None:
        """Record starts and send them until another owner has taken over.

        Starts that are decided while an append is under way share the next one.
        """
        while not self.writer.fenced:
            await self.decided.wait()
            self.decided.clear()
            while self.unsent and not self.writer.fenced:
                await self._record_and_send()

    def send(self, order: Order) -> None:
        """Send an order, or keep it until its record is stored."""
        if isinstance(order, StopTask):
            self._send_stop(order)
        elif self._is_recorded(order):
            self._send_start(order)
        else:
            self._keep(order)

    async def record_running(self) -> None:
        """Record all attempts that may run.

        An owner of an earlier version has not recorded those that it started.
        """
        vms = self.planner.state.vms.values()
        batch = {vm.vm_id: frozenset(vm.attempts) for vm in vms if vm.attempts}
        self.lists_all_starts = not batch or await self._record(batch)

    def resend_without_effect(
        self, agent: AgentState, attempts: Iterable[Attempt], now_s: float
    ) -> None:
        """Queue orders again that a report shows no effect of; they may have been lost."""
        for attempt in attempts:
            sent_s = agent.order_sent_s.get((attempt.task, attempt.number), now_s)
            if now_s - sent_s > RESEND_TIMEOUT_S:
                self.planner.state.orders.append(self._rebuild_order(attempt))

    async def _record_and_send(self) -> None:
        batch = self._next_batch()
        if not batch or not await self._record(batch):
            return
        for key, unsent in list(self.unsent.items()):
            if key in self.unsent and self._is_recorded(unsent.order) and self._is_ordered(*key):
                del self.unsent[key]
                self._send_start(unsent.order, loop_time() - unsent.decided_s)

    async def _record(self, batch: dict[str, frozenset[tuple[TaskId, int]]]) -> bool:
        records = [
            Record(vm_id, encode_starts(attempts) if attempts else None)
            for vm_id, attempts in batch.items()
        ]
        if isinstance(await self.writer.append_urgently(records), Fenced):
            self.wake.set()
            return False
        self.recorded.update(batch)
        for vm_id in [vm_id for vm_id, attempts in batch.items() if not attempts]:
            del self.recorded[vm_id]
        return True

    def _next_batch(self) -> dict[str, frozenset[tuple[TaskId, int]]]:
        """Return the attempts to record by VM; none for VMs whose record is to be removed.

        Starts of attempts that have ended since they were decided are dropped.
        """
        vms = self.planner.state.vms
        for key in [key for key in self.unsent if not self._is_ordered(*key)]:
            del self.unsent[key]
        batch: dict[str, frozenset[tuple[TaskId, int]]] = {}
        count = 0
        for vm_id in dict.fromkeys(vm_id for vm_id, _, _ in self.unsent):
            count += len(vms[vm_id].attempts)
            if batch and count > MAX_APPEND_ATTEMPTS:
                break
            batch[vm_id] = frozenset(vms[vm_id].attempts)
        if batch:
            gone = self.recorded.keys() - vms.keys() - self.pending_agents
            batch.update(dict.fromkeys(gone, frozenset()))
        return batch

    def _is_recorded(self, order: StartTask) -> bool:
        return (order.task, order.number) in self.recorded.get(order.vm_id, ())

    def _is_ordered(self, vm_id: str, task: TaskId, number: int) -> bool:
        """Return whether the planner still waits for the start of an attempt."""
        attempt = self._find_attempt(vm_id, task, number)
        return attempt is not None and attempt.phase is AttemptPhase.ORDERED

    def _find_attempt(self, vm_id: str, task: TaskId, number: int) -> Attempt | None:
        vm = self.planner.state.vms.get(vm_id)
        return vm.attempts.get((task, number)) if vm is not None else None

    def _keep(self, order: StartTask) -> None:
        """Keep a start until its record is stored."""
        key = (order.vm_id, order.task, order.number)
        self.unsent.setdefault(key, UnsentStart(order, loop_time()))
        self._mark_attempt(order, awaits_record=True)
        self.decided.set()

    def _send_start(self, order: StartTask, recorded_after_s: float = 0.0) -> None:
        if not self.may_order():
            self._keep(order)
            return
        self._record_first_start(order)
        self._mark_attempt(order, awaits_record=False)
        self._send(
            Event.TASK_ORDERED,
            order,
            StartOrder(
                self.epoch,
                order.task,
                order.number,
                order.command,
                order.checkpoint,
                incarnation=order.incarnation,
                repeated=order.repeated,
            ),
            recorded_after_s=round(recorded_after_s, 3),
        )

    def _mark_attempt(self, order: StartTask, *, awaits_record: bool) -> None:
        attempt = self._find_attempt(order.vm_id, order.task, order.number)
        if attempt is not None:
            attempt.awaits_record = awaits_record

    def _send_stop(self, order: StopTask) -> None:
        if self.unsent.pop((order.vm_id, order.task, order.number), None) is None:
            stop = StopOrder(self.epoch, order.task, order.number)
            self._send(Event.TASK_STOPPED, order, stop)
            return
        result = StartResult(
            self.epoch, order.task, order.number, StartOutcome.REFUSED, f"not sent: {order.cause}"
        )
        log_start_result(order.vm_id, result)
        self.planner.record_outcome(
            order.vm_id, order.task, order.number, AttemptOutcome.REFUSED, "", loop_time()
        )
        self.wake.set()

    def _send(
        self, event: Event, order: Order, message: StartOrder | StopOrder, **fields: object
    ) -> None:
        agent = self.agent_states[order.vm_id]
        agent.order_sent_s[order.task, order.number] = loop_time()
        log_event(
            event,
            job_id=order.task.job_id,
            task=str(order.task),
            number=order.number,
            vm=order.vm_id,
            cause=order.cause,
            epoch=self.epoch,
            configuration=self.planner.state.configuration.version,
            **order.inputs,
            **fields,
        )
        self.control_server.send(order.vm_id, message)

    def _rebuild_order(self, attempt: Attempt) -> Order:
        if attempt.phase is AttemptPhase.STOPPING:
            return StopTask(attempt.vm_id, attempt.task, attempt.number, "given again")
        command = self.planner.state.active_jobs[attempt.task.job_id].job.command
        incarnation = self.planner.state.vms[attempt.vm_id].description.incarnation
        return StartTask(
            attempt.vm_id,
            attempt.task,
            attempt.number,
            command,
            attempt.checkpoint,
            incarnation,
            "given again",
            repeated=True,
        )

    def _record_first_start(self, order: StartTask) -> None:
        active_job = self.planner.state.active_jobs.get(order.task.job_id)
        if (
            active_job is None
            or active_job.started
            or active_job.job.has_schedule
            or order.task.index
            or order.number > 1
        ):
            return
        waited_s = max(0.0, self.clock.now_s() - active_job.job.accepted_s)
        self.metrics.first_start_s.observe({"queue": active_job.queue.name}, waited_s)

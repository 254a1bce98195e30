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
from briardeal_workflow.planning import (
    AttemptOutcome,
    AttemptPhase,
    LossCause,
    StartTask,
    StopTask,
)
from briardeal_workflow.store import Fenced, Record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Set

    from briardeal_core.clock import Clock
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import TaskGroupId, TaskId
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

    The record of a VM lists all attempts that may run there, or whose end is not in the store yet.
    A new owner appends to the same topic before it reads the records, so that it finds each start
    that an earlier owner may still order, and each end that only the agent of the VM can report.
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
    may_start
        Returns whether starts may be sent; the evacuated failure domains may be unknown.

    Attributes
    ----------
    unsent
        Starts that have not been sent yet, by VM, task and number, in the order of their decisions.
    recorded
        Attempts that the store lists by VM.
    lists_all_starts
        Whether the store lists all attempts that this and earlier owners may have started.
    decided
        Set when starts wait for their record, or when what they wait for has been stored.
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
        may_start: Callable[[], bool],
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
        self.may_start = may_start
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
            while self.unsent and not self.writer.fenced and await self._record_and_send():
                pass

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
        state = self.planner.state
        batch = {vm_id: self._attempts_of(vm_id, frozenset()) for vm_id in state.vms}
        batch = {vm_id: attempts for vm_id, attempts in batch.items() if attempts}
        self.lists_all_starts = not batch or await self._record(batch)

    def resend_without_effect(
        self, agent: AgentState, attempts: Iterable[Attempt], now_s: float
    ) -> None:
        """Queue orders again that a report shows no effect of; they may have been lost.

        A start is stopped instead if its VM does not accept tasks any more.
        """
        state = self.planner.state
        for attempt in attempts:
            sent_s = agent.order_sent_s.get((attempt.task, attempt.number), now_s)
            if now_s - sent_s <= RESEND_TIMEOUT_S:
                continue
            if attempt.phase is AttemptPhase.STOPPING or state.vms[attempt.vm_id].accepts_tasks:
                state.orders.append(self._rebuild_order(attempt))
                continue
            for each in state.stopped_together(attempt):
                state.stop(
                    each, "its VM accepts no tasks any more", loss_cause=LossCause.LATE_ORDER
                )

    async def _record_and_send(self) -> bool:
        """Record starts and send them; return whether there were any to record.

        While starts may not be sent, they stay unsent; each planning round tries again.
        """
        batch = self._next_batch()
        if not batch or not await self._record(batch) or not self.may_start():
            return False
        for key, unsent in list(self.unsent.items()):
            if key in self.unsent and self._is_recorded(unsent.order) and self._is_ordered(*key):
                del self.unsent[key]
                self._send_start(unsent.order, loop_time() - unsent.decided_s)
        return True

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
        state = self.planner.state
        for key in [key for key in self.unsent if not self._is_ordered(*key)]:
            del self.unsent[key]
        batch: dict[str, frozenset[tuple[TaskId, int]]] = {}
        count = 0
        waiting = self._find_starts_after_unstored_failures()
        for vm_id in dict.fromkeys(key[0] for key in self.unsent if key not in waiting):
            attempts = self._attempts_of(vm_id, waiting)
            count += len(attempts)
            if batch and count > MAX_APPEND_ATTEMPTS:
                break
            batch[vm_id] = attempts
        if batch:
            kept = state.vms.keys() | self.pending_agents | state.unstored_ends.keys()
            batch.update(dict.fromkeys(self.recorded.keys() - kept, frozenset()))
        return batch

    def _find_starts_after_unstored_failures(self) -> frozenset[tuple[str, TaskId, int]]:
        """Return the starts that wait until a failure of their task, or gang, is in the store.

        A new owner holds back only the newest attempt of a task that it finds recorded.
        """
        failed = {
            self._failure_key(task)
            for ends in self.planner.state.unstored_ends.values()
            for (task, _), outcome in ends.items()
            if outcome is AttemptOutcome.FAILED
        }
        if not failed:
            return frozenset()
        return frozenset(key for key in self.unsent if self._failure_key(key[1]) in failed)

    def _failure_key(self, task: TaskId) -> TaskId | TaskGroupId:
        """Return what the failures of a task are counted for: itself, or its gang."""
        group = self.planner.state.group_of(task)
        return task.group if group is not None and group.step.gang else task

    def _attempts_of(
        self, vm_id: str, waiting: Set[tuple[str, TaskId, int]]
    ) -> frozenset[tuple[TaskId, int]]:
        """Return the attempts to record for a VM, without the starts that have to wait."""
        state = self.planner.state
        listed = (each for each in state.vms[vm_id].attempts if (vm_id, *each) not in waiting)
        return frozenset((*listed, *state.unstored_ends.get(vm_id, ())))

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
        if not self.may_start() and order.repeated:
            # The next report that shows no effect of the order repeats it.
            return
        if not self.may_order() or not self.may_start():
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

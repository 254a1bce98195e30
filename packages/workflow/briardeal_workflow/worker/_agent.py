"""The agent that runs beside the worker of one VM."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import boottime_s, loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import (
    Acknowledge,
    AgentHello,
    EntryHello,
    Heartbeat,
    OwnerAnnouncement,
    StartOrder,
    StartOutcome,
    StartResult,
    StopOrder,
    VmReport,
    make_fencing_token,
)
from briardeal_workflow.worker._crashes import CrashRecorder
from briardeal_workflow.worker._interface import (
    LEAVING,
    OTHER_INCARNATION,
    Listing,
    NoAnswer,
    Replaced,
)
from briardeal_workflow.worker._lease import LEASE_EXPIRY_S, LEASE_S
from briardeal_workflow.worker._link import LINK_SILENCE_LIMIT_S, SEND_TIMES_LIMIT, EntryLink
from briardeal_workflow.worker._orders import OrderExecutor
from briardeal_workflow.worker._pace_memory import PaceMemory
from briardeal_workflow.worker._task_table import TaskTable

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from briardeal_protocol.connections import Network
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._interface import Worker
    from briardeal_workflow.worker._registration import Registration

HEARTBEAT_INTERVAL_S = 0.4
"""Interval of messages to each entry; the owner considers an agent silent after 1.5 s."""

REPORT_INTERVAL_S = 1.0
"""Interval of full reports while only the progress of tasks changes."""

WORKER_SILENCE_LIMIT_S = 2.0
"""Silence of a worker after which its lease is not renewed; a healthy one answers within 1 s."""

REFUSED_CONNECTIONS_LIMIT_S = 1.0
"""Time of refused connections after which a worker counts as ended. Worker and agent run on the
same VM, so that no network partition can be the cause."""

LIST_WAIT_S = 0.8
"""Longest time that the worker waits for a task to end before it lists its tasks."""

RETRY_PAUSE_S = 0.25
"""Pause before an unanswered call to the worker or a lost connection to an entry is retried."""


class WorkerAgent:
    """Follows the owner with the highest fencing token and reports the tasks of its VM to it.

    Parameters
    ----------
    agent_id
        Name of the VM.
    worker, registration
        Calls to the worker, and the newest description of the VM that the worker sent.
    network, entries
        Connections to entries, and the control addresses that are known at start.

    Attributes
    ----------
    links, owner
        Open connections by control address, and the one to the owner; `None` while there is none.
    epoch
        Fencing token of the owner that the agent follows; 0 before the first.
    generation
        Number of incarnations of the worker that this owner has known before the present one.
    owner_planned_s
        When the newest message was sent that this owner acknowledged while it was planning, on the
        clock of `boottime_s`; `None` if there is none.
    incarnation
        Incarnation of the worker; empty before its first description.
    table
        Tasks of that incarnation.
    listed_token, listed_s
        Fencing token under which the worker last listed its tasks, or -1 if the lists are out of
        date, and when the lists were received, on the clock of `boottime_s`.
    acknowledged_position
        Position up to which the owner has recorded ended attempts.
    lease_end_s
        When the lease expires, on the clock of `boottime_s`.
    had_lease
        Whether the lease was valid at the last check.
    clock_offset_s
        The worker's clock minus that of `boottime_s`; `None` before the worker has answered.
    idle_from_s
        When all tasks of a silent worker have certainly ended, on the clock of `boottime_s`.
    silent_since_s, refused_since_s
        Since when the worker has not answered, and since when it has refused connections, on the
        clock of `boottime_s`; `None` while it answers or accepts them.
    crashes
        Crashes of the worker, with what ran on it.
    leaving
        Whether the worker has announced that it leaves.
    pace
        Pace of the VM as the owner has estimated it.
    report_due
        Set when a full report is due.
    """

    def __init__(
        self,
        agent_id: str,
        worker: Worker,
        registration: Registration,
        network: Network,
        entries: tuple[str, ...],
    ) -> None:
        self.agent_id = agent_id
        self.worker = worker
        self.registration = registration
        self.network = network
        self.seeds = entries
        self.entries = set(entries)
        self.links: dict[str, EntryLink] = {}
        self.epoch = 0
        self.generation = 0
        self.owner: EntryLink | None = None
        self.owner_planned_s: float | None = None
        self.incarnation = ""
        self.table = TaskTable()
        self.listed_token = -1
        self.listed_s = float("-inf")
        self.acknowledged_position = 0
        self.lease_end_s = float("-inf")
        self.had_lease = False
        self.clock_offset_s: float | None = None
        # Until then, tasks may run on under a lease that a previous agent on this VM has renewed.
        self.idle_from_s = boottime_s() + LEASE_EXPIRY_S
        self.silent_since_s: float | None = None
        self.refused_since_s: float | None = None
        self.orders = OrderExecutor(
            worker,
            self._lease_end_clock,
            self._handle_outcome,
            self._find_in_lists,
            self._doubt_lists,
            self._make_token,
        )
        self.crashes = CrashRecorder()
        self.leaving = False
        self.pace = PaceMemory()
        self.report_due = asyncio.Event()
        self._sequence = 0
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def has_lease(self) -> bool:
        """Whether the lease is valid."""
        return boottime_s() < self.lease_end_s

    async def run(self) -> None:
        """Run the agent until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_worker())
            tasks.create_task(self._report_to_entries())
            tasks.create_task(self._watch_registration())
            await self._connect_to_entries(tasks)

    async def _connect_to_entries(self, tasks: asyncio.TaskGroup) -> None:
        connections: dict[str, asyncio.Task[None]] = {}
        while True:
            for address in self.entries:
                if address not in connections or connections[address].done():
                    connections[address] = tasks.create_task(self._serve_entry(address))
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _serve_entry(self, address: str) -> None:
        """Connect to an entry and handle its messages until the connection ends."""
        try:
            async with asyncio.timeout(LINK_SILENCE_LIMIT_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return
        if isinstance(connection, Closed):
            return
        link = EntryLink(address, connection, last_received_s=loop_time())
        self.links[address] = link
        try:
            await connection.send(AgentHello(self.agent_id))
            detail = await self._receive_messages(link)
            log_event(Event.LINK_LOST, entry=address, detail=detail)
        finally:
            if self.links.get(address) is link:
                del self.links[address]
            if self.owner is link:
                self.owner = None
            await connection.close()

    async def _receive_messages(self, link: EntryLink) -> str:
        while True:
            try:
                async with asyncio.timeout(LINK_SILENCE_LIMIT_S):
                    message = await link.connection.receive()
            except TimeoutError:
                return "silent"
            if isinstance(message, Closed):
                return message.detail
            link.last_received_s = loop_time()
            self._handle_message(link, message)

    def _handle_message(self, link: EntryLink, message: object) -> None:
        if isinstance(message, EntryHello):
            self.entries.update(message.entries)
        elif isinstance(message, OwnerAnnouncement):
            self._follow_owner(link, message)
        elif isinstance(message, Acknowledge):
            self._handle_acknowledgement(link, message)
        elif isinstance(message, StartOrder | StopOrder):
            self._handle_order(link, message)

    def _make_token(self, epoch: int) -> int:
        """Return the fencing token of calls to the worker for an owner."""
        return make_fencing_token(epoch, self.generation if epoch == self.epoch else 0)

    def _follow_owner(self, link: EntryLink, announcement: OwnerAnnouncement) -> None:
        """Follow an owner unless one with a higher fencing token is known."""
        epoch, generation = announcement.epoch, announcement.generation
        if (epoch, generation) < (self.epoch, self.generation):
            return
        if epoch > self.epoch:
            log_event(Event.HOLD_EXTENDED, epoch=epoch, entry=link.address)
            self.owner_planned_s = boottime_s()
        self.epoch, self.generation = epoch, generation
        self.owner = link
        self._spawn(self._list_for_owner())

    async def _list_for_owner(self) -> None:
        """Read the worker's lists under the token of the owner, and report them."""
        await self._renew_and_list(0.0)
        self.report_due.set()

    def _spawn(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_acknowledgement(self, link: EntryLink, message: Acknowledge) -> None:
        self.entries.update(message.entries)
        sent_s = link.sent_s.pop(message.sequence, None)
        if message.plans and link is self.owner and sent_s is not None:
            self.owner_planned_s = max(self.owner_planned_s or sent_s, sent_s)
        if message.epoch != self.epoch or message.epoch == 0 or sent_s is None:
            return
        self.lease_end_s = max(self.lease_end_s, sent_s + LEASE_S)
        if message.incarnation == self.incarnation:
            self.pace.record(message.pace)
            self.acknowledged_position = max(self.acknowledged_position, message.ends_kept)

    def _handle_order(self, link: EntryLink, order: StartOrder | StopOrder) -> None:
        if order.epoch != self.epoch or not self.incarnation:
            return
        if isinstance(order, StopOrder):
            self.orders.stop(self.incarnation, order)
            return
        refusal = self._find_refusal(order)
        if refusal == LEAVING and order.repeated:
            self.orders.rule_out(self.incarnation, order)
            return
        if refusal:
            refused = StartOutcome.REFUSED
            self._handle_outcome(
                StartResult(order.epoch, order.task, order.number, refused, refusal), 0.0
            )
            return
        self.crashes.record_order(order.task, order.number)
        self.orders.start(self.incarnation, order)

    def _find_refusal(self, order: StartOrder) -> str:
        """Return why a start is refused without asking the worker; empty if it is not."""
        if order.incarnation not in ("", self.incarnation):
            # The owner counts the attempt as lost as soon as it knows the new incarnation.
            return OTHER_INCARNATION
        vm = self.registration.vm
        return LEAVING if vm is None or vm.leaving else ""

    def _handle_outcome(self, result: StartResult, clock_s: float) -> None:
        if result.outcome is StartOutcome.STARTED:
            self.table.record_start(result.task, result.number, clock_s)
        if self.owner is not None:
            # An owner that has taken over needs the outcome of an order of its predecessor too.
            outcome = msgspec.structs.replace(result, epoch=self.epoch)
            self._send_outcome(self.owner, outcome)

    def _send_outcome(self, owner: EntryLink, result: StartResult) -> None:
        """Send an outcome; before a refusal, the state of the VM that the owner did not know."""
        if result.outcome is StartOutcome.REFUSED:
            self._send_heartbeat(owner, full=True)
        owner.connection.post(result)

    def _doubt_lists(self) -> None:
        """Report the worker as unreachable until it has listed its tasks again."""
        self.listed_token = -1
        self._spawn(self._list_for_owner())

    async def _watch_registration(self) -> None:
        while True:
            await self.registration.changed.wait()
            self.registration.changed.clear()
            vm = self.registration.vm
            if vm is not None and not self.registration.alive:
                self._record_worker_end(boottime_s())
            replaced = vm is not None and vm.incarnation != self.incarnation
            if replaced and self.incarnation and not await self._is_confirmed(vm.incarnation):
                continue
            if replaced:
                self._follow_incarnation(vm.incarnation)
            self.leaving = vm is not None and vm.leaving
            if replaced:
                await self._renew_and_list(0.0)
            self.report_due.set()

    async def _is_confirmed(self, incarnation: str) -> bool:
        """Return whether the worker answers as a new incarnation.

        Any process can send a description. As long as the worker does not answer, what the earlier
        incarnation runs may run on.
        """
        answer = await self.worker.renew_lease(
            incarnation,
            fencing_token=self._make_token(self.epoch),
            acknowledged_position=0,
            lease_end_clock_s=None,
            wait_s=0.0,
        )
        if isinstance(answer, Replaced):
            self.registration.reject(incarnation)
        elif isinstance(answer, NoAnswer):
            await asyncio.sleep(RETRY_PAUSE_S)
            self.registration.changed.set()
        return isinstance(answer, Listing)

    def _follow_incarnation(self, incarnation: str) -> None:
        """Follow a new incarnation of the worker, which knows nothing of earlier ones."""
        if not self._is_silent_too_long():
            self._record_crash()
        if self.incarnation:
            self.pace.follow_incarnation()
        self.incarnation = incarnation
        self.table = TaskTable()
        self.acknowledged_position = 0
        self.listed_token = -1
        self.clock_offset_s = None
        under_way = list(self.orders.unresolved.values())
        self.orders.cancel_all()
        for order in under_way:
            # A worker that keeps its instance ID may execute a call meant for its earlier life.
            self.orders.rule_out(incarnation, order)

    async def _poll_worker(self) -> None:
        while True:
            # After a silence, the VM is reachable again as soon as its worker answers.
            wait_s = LIST_WAIT_S if self.silent_since_s is None else 0.0
            if not self.incarnation or not await self._renew_and_list(wait_s):
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _renew_and_list(self, wait_s: float) -> bool:
        """Renew the lease, read the worker's lists, and return whether the worker answered."""
        incarnation, token = self.incarnation, self._make_token(self.epoch)
        if not incarnation:
            return False
        listing = await self.worker.renew_lease(
            incarnation,
            fencing_token=token,
            acknowledged_position=self.acknowledged_position,
            lease_end_clock_s=self._lease_end_clock(),
            wait_s=wait_s,
        )
        if incarnation != self.incarnation:
            return True
        if not isinstance(listing, Listing):
            if isinstance(listing, Replaced):
                self.registration.reject(incarnation)
            self._record_worker_silence(listing)
            return False
        self.registration.confirm(incarnation)
        self._record_worker_answer()
        self.listed_s = boottime_s()
        self.clock_offset_s = listing.clock_s - self.listed_s
        is_first_of_token = self.listed_token < token
        self.listed_token = max(self.listed_token, token)
        if self.table.update(listing) or is_first_of_token:
            self.report_due.set()
        self.crashes.forget_orders(self._unfinished_attempts())
        return True

    def _record_worker_answer(self) -> None:
        if self.silent_since_s is not None:
            log_event(Event.WORKER_HEARD, silent_s=boottime_s() - self.silent_since_s)
        self.silent_since_s = None
        self.refused_since_s = None

    def _record_worker_silence(self, outcome: Replaced | NoAnswer) -> None:
        """Record that the worker did not list its tasks."""
        self.listed_token = -1
        now_s = boottime_s()
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            log_event(Event.WORKER_SILENT, detail=str(outcome))
            self.report_due.set()
        if isinstance(outcome, NoAnswer) and outcome.refused:
            self.refused_since_s = self.refused_since_s or now_s
            if self._has_worker_ended():
                self._record_crash()
                self._record_worker_end(now_s)
        else:
            self.refused_since_s = None

    def _has_worker_ended(self) -> bool:
        """Return whether connections were refused for so long that the worker counts as ended."""
        since_s = self.refused_since_s
        return since_s is not None and boottime_s() - since_s > REFUSED_CONNECTIONS_LIMIT_S

    def _record_worker_end(self, now_s: float) -> None:
        """Record that the worker has ended, so that none of its tasks runs."""
        self.crashes.record_end(self.incarnation)
        if self.idle_from_s > now_s:
            log_event(Event.WORKER_GONE, incarnation=self.incarnation)
            # Not the present time: `boottime_s` sometimes goes back by fractions of a millisecond,
            # and the report that follows at once would say that tasks may run.
            self.idle_from_s = -math.inf
            self.orders.cancel_all()
            self.report_due.set()

    def _record_crash(self) -> None:
        """Record that the worker has ended without notice, unless it was leaving."""
        if self.incarnation and not self.leaving:
            crashed_s = boottime_s() if self.silent_since_s is None else self.silent_since_s
            self.crashes.record_crash(self.incarnation, crashed_s, self._unfinished_attempts())

    def _unfinished_attempts(self) -> set[tuple[TaskId, int]]:
        """Return the attempts that run or may have been started, as task and number."""
        return (
            self.table.running.keys() | self.table.confirmed.keys() | self.orders.unresolved.keys()
        )

    async def _find_in_lists(self, task: TaskId, number: int) -> bool:
        """Read the lists until the worker answers, and return whether they contain an attempt."""
        while not await self._renew_and_list(0.0):
            await asyncio.sleep(RETRY_PAUSE_S)
        ended = {(each.task, each.number) for each in self.table.ended}
        return (task, number) in ended or (task, number) in self.table.running

    def _is_silent_too_long(self) -> bool:
        """Return whether the worker has not answered for longer than a healthy one takes."""
        since_s = self.silent_since_s
        return since_s is not None and boottime_s() - since_s > WORKER_SILENCE_LIMIT_S

    def _lease_end_clock(self) -> float | None:
        """Return when the lease expires on the worker's clock; `None` if it is not renewed.

        The lease of a silent worker is not renewed, so that its tasks end when it expires.
        """
        if not self.has_lease or self.clock_offset_s is None or self._is_silent_too_long():
            return None
        if self._has_worker_ended():
            return None
        self.idle_from_s = max(self.idle_from_s, self.lease_end_s + LEASE_EXPIRY_S - LEASE_S)
        return self.lease_end_s + self.clock_offset_s

    async def _report_to_entries(self) -> None:
        reported_s = float("-inf")
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.report_due.wait()
            except TimeoutError:
                pass
            self._log_lease_expiry()
            changed = self.report_due.is_set()
            self.report_due.clear()
            full = changed or loop_time() - reported_s >= REPORT_INTERVAL_S
            if full:
                reported_s = loop_time()
            for link in list(self.links.values()):
                self._send_heartbeat(link, full=full)

    def _log_lease_expiry(self) -> None:
        if self.had_lease and not self.has_lease:
            log_event(Event.HOLD_LOST, epoch=self.epoch, tasks=len(self.table.running))
        self.had_lease = self.has_lease

    def _send_heartbeat(self, link: EntryLink, *, full: bool) -> None:
        """Send a message without waiting, so that no entry delays reports to the others."""
        self._sequence += 1
        message: Heartbeat | VmReport = Heartbeat(self._sequence, self.epoch, self._owner_age_ms())
        if full and link is self.owner:
            message = self._make_report()
        link.sent_s[self._sequence] = boottime_s()
        for old in list(link.sent_s)[:-SEND_TIMES_LIMIT]:
            del link.sent_s[old]
        link.connection.post(message)

    def _owner_age_ms(self) -> int:
        if self.owner_planned_s is None:
            return -1
        return int(1000 * (boottime_s() - self.owner_planned_s))

    def _is_listed(self) -> bool:
        """Return whether the newest lists belong to the registered worker and to the owner."""
        vm = self.registration.vm
        known = vm is not None and vm.incarnation == self.incarnation
        return (
            known and self.registration.alive and self.listed_token == self._make_token(self.epoch)
        )

    def _make_report(self) -> VmReport:
        if not self._is_listed():
            idle = boottime_s() > self.idle_from_s
            crashes = self.crashes.recent()
            return VmReport(self._sequence, self.epoch, None, idle=idle, crashes=crashes)
        return VmReport(
            self._sequence,
            self.epoch,
            self.registration.describe(),
            self.crashes.add_run_times(self.table.running_tasks()),
            self.table.ended,
            tuple(self.orders.unresolved),
            age_ms=int(1000 * (boottime_s() - self.listed_s)),
            crashes=self.crashes.recent(),
            generation=self.generation,
            pace=self.pace.current(),
        )

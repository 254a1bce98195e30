"""The agent of one VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import awake_time, loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_workflow.control import (
    Acknowledge,
    AgentHello,
    Beat,
    EntryHello,
    Lead,
    Report,
    Settled,
    SettledAs,
    StartOrder,
    StopOrder,
)
from briardeal_workflow.worker._orders import Orders
from briardeal_workflow.worker._port import Listing, NoAnswer, Replaced
from briardeal_workflow.worker._table import Table

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from briardeal_protocol.connections import Connection, Network
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._port import Worker
    from briardeal_workflow.worker._registration import Registration

HOLD_S = 5.0
"""Time for which work goes on after the newest word that the owner has acknowledged was sent:
agents that are restarted are back sooner."""

CLOCK_RATE_LIMIT = 1.02
"""Most that the clock of a worker may be slow, by the contract of the platform."""

HOLD_MARGIN_S = 0.5
"""Time that a worker may take to end what its hold no longer covers."""

LEASE_EXPIRY_S = HOLD_S * CLOCK_RATE_LIMIT + HOLD_MARGIN_S
"""Time after which nothing runs that was held by a word sent before."""

BEAT_S = 0.4
"""Time between two words to each entry; the owner finds an agent silent after 1.5 s."""

REPORT_S = 1.0
"""Time between two full reports where nothing has changed but percentages."""

WORKER_SILENCE_S = 2.0
"""Silence after which a worker is no longer held on; it answers within a second when in order."""

REFUSED_LIMIT_S = 1.0
"""Time of refused connections after which a worker has ended; its address is on this VM."""

LIST_WAIT_S = 0.8
"""Longest time that the worker waits for an end before it lists what it runs."""

RETRY_S = 0.25
"""Pause before a worker or an entry that does not answer is asked again."""

SILENT_LINK_S = 1.5
"""Silence after which a connection to an entry is opened anew."""

SEND_DEPTH = 64
"""Sent words whose times are remembered until they are acknowledged."""


@attrs.define(eq=False)
class EntryLink:
    """A connection to an entry.

    Attributes
    ----------
    address, connection
        Where the entry is, and the connection.
    sent_s
        When recent words were sent, by number, on the clock of `awake_time`.
    heard_s
        When the entry was last heard, on the loop's clock.
    """

    address: str
    connection: Connection
    sent_s: dict[int, float] = attrs.field(factory=dict)
    heard_s: float = 0.0


class WorkerAgent:
    """Follows the owner with the highest token and tells it what its VM runs.

    Parameters
    ----------
    agent_id
        Name of the VM.
    worker, registration
        The worker, and what it says of itself.
    network, entries
        How to connect, and control addresses of entries to begin with.
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
        self.owner: EntryLink | None = None
        self.incarnation = ""
        self.table = Table()
        self.listed_epoch = -1
        self.listed_s = float("-inf")
        self.ends_kept = 0
        self.held_until_s = float("-inf")
        self.was_held = False
        self.clock_offset_s: float | None = None
        # Until then work may go on that an agent held that ran here before.
        self.idle_from_s = awake_time() + LEASE_EXPIRY_S
        self.silent_since_s: float | None = None
        self.refused_since_s: float | None = None
        self.orders = Orders(worker, self._hold_clock, self._note_settled, self._is_listed)
        self.news = asyncio.Event()
        self._sequence = 0
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def held(self) -> bool:
        """Whether an owner extends the hold."""
        return awake_time() < self.held_until_s

    async def run(self) -> None:
        """Serve the VM until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._list_forever())
            tasks.create_task(self._report_forever())
            tasks.create_task(self._watch_registration())
            await self._connect_forever(tasks)

    async def _connect_forever(self, tasks: asyncio.TaskGroup) -> None:
        served: dict[str, asyncio.Task[None]] = {}
        while True:
            for address in self.entries:
                if address not in served or served[address].done():
                    served[address] = tasks.create_task(self._serve_entry(address))
            await asyncio.sleep(RETRY_S)

    async def _serve_entry(self, address: str) -> None:
        """Keep one connection to an entry until it ends."""
        try:
            async with asyncio.timeout(SILENT_LINK_S):
                connection = await self.network.connect(address)
        except TimeoutError:
            return
        if isinstance(connection, Closed):
            return
        link = EntryLink(address, connection, heard_s=loop_time())
        self.links[address] = link
        try:
            await connection.send(AgentHello(self.agent_id))
            detail = await self._hear(link)
            log_event(Event.LINK_LOST, entry=address, detail=detail)
        finally:
            if self.links.get(address) is link:
                del self.links[address]
            if self.owner is link:
                self.owner = None
            await connection.close()

    async def _hear(self, link: EntryLink) -> str:
        while True:
            try:
                async with asyncio.timeout(SILENT_LINK_S):
                    message = await link.connection.receive()
            except TimeoutError:
                return "silent"
            if isinstance(message, Closed):
                return message.detail
            link.heard_s = loop_time()
            self._take(link, message)

    def _take(self, link: EntryLink, message: object) -> None:
        if isinstance(message, EntryHello):
            self.entries.update(message.entries)
        elif isinstance(message, Lead):
            self._follow(link, message.epoch)
        elif isinstance(message, Acknowledge):
            self._note_acknowledged(link, message)
        elif isinstance(message, StartOrder | StopOrder):
            self._obey(link, message)

    def _follow(self, link: EntryLink, epoch: int) -> None:
        """Follow an owner unless one with a higher token is known."""
        if epoch < self.epoch:
            return
        if epoch > self.epoch:
            log_event(Event.HOLD_EXTENDED, epoch=epoch, entry=link.address)
        self.epoch = epoch
        self.owner = link
        self._spawn(self._list_for_owner())

    async def _list_for_owner(self) -> None:
        """Read the lists under the token of the owner, and tell it."""
        await self._list_once(0.0)
        self.news.set()

    def _spawn(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note_acknowledged(self, link: EntryLink, message: Acknowledge) -> None:
        self.entries.update(message.entries)
        sent_s = link.sent_s.pop(message.sequence, None)
        if message.epoch != self.epoch or message.epoch == 0 or sent_s is None:
            return
        self.held_until_s = max(self.held_until_s, sent_s + HOLD_S)
        if message.incarnation == self.incarnation:
            self.ends_kept = max(self.ends_kept, message.ends_kept)

    def _obey(self, link: EntryLink, order: StartOrder | StopOrder) -> None:
        if order.epoch != self.epoch or not self.incarnation:
            return
        if isinstance(order, StopOrder):
            self.orders.stop(self.incarnation, order)
            return
        vm = self.registration.vm
        if vm is None or vm.leaving:
            refused = SettledAs.REFUSED
            reason = "worker is leaving"
            self._note_settled(Settled(order.epoch, order.task, order.number, refused, reason), 0.0)
            return
        self.orders.start(self.incarnation, order)

    def _note_settled(self, settled: Settled, clock_s: float) -> None:
        if settled.outcome is SettledAs.STARTED:
            self.table.note_started(settled.task, settled.number, clock_s)
        if self.owner is not None:
            self._spawn(self.owner.connection.send(settled))

    async def _watch_registration(self) -> None:
        while True:
            await self.registration.changed.wait()
            self.registration.changed.clear()
            vm = self.registration.vm
            if vm is not None and not self.registration.alive:
                self._note_gone(awake_time())
            if vm is not None and vm.incarnation != self.incarnation:
                self.incarnation = vm.incarnation
                self.table = Table()
                self.ends_kept = 0
                self.listed_epoch = -1
                self.clock_offset_s = None
                self.orders.cancel_all()
                await self._list_once(0.0)
            self.news.set()

    async def _list_forever(self) -> None:
        while True:
            if not self.incarnation or not await self._list_once(LIST_WAIT_S):
                await asyncio.sleep(RETRY_S)

    async def _list_once(self, wait_s: float) -> bool:
        """Extend the hold, read the lists, and return whether the worker answered."""
        incarnation, epoch = self.incarnation, self.epoch
        if not incarnation:
            return False
        listing = await self.worker.renew_lease(
            incarnation,
            epoch=epoch,
            acknowledged_position=self.ends_kept,
            lease_end_clock_s=self._hold_clock(),
            wait_s=wait_s,
        )
        if incarnation != self.incarnation:
            return True
        if not isinstance(listing, Listing):
            self._note_silent(listing)
            return False
        self._note_answer()
        self.listed_s = awake_time()
        self.clock_offset_s = listing.clock_s - self.listed_s
        first = self.listed_epoch < epoch
        self.listed_epoch = max(self.listed_epoch, epoch)
        if self.table.take(listing) or first:
            self.news.set()
        return True

    def _note_answer(self) -> None:
        if self.silent_since_s is not None:
            log_event(Event.WORKER_HEARD, silent_s=awake_time() - self.silent_since_s)
        self.silent_since_s = None
        self.refused_since_s = None

    def _note_silent(self, outcome: Replaced | NoAnswer) -> None:
        """Note that the worker did not list what it runs."""
        self.listed_epoch = -1
        now_s = awake_time()
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            log_event(Event.WORKER_SILENT, detail=str(outcome))
            self.news.set()
        if isinstance(outcome, NoAnswer) and outcome.refused:
            self.refused_since_s = self.refused_since_s or now_s
            if self._is_gone():
                self._note_gone(now_s)
        else:
            self.refused_since_s = None

    def _is_gone(self) -> bool:
        """Return whether connections were refused for so long that the worker has ended."""
        since_s = self.refused_since_s
        return since_s is not None and awake_time() - since_s > REFUSED_LIMIT_S

    def _note_gone(self, now_s: float) -> None:
        """Note that the worker has ended, so that it runs nothing."""
        if self.idle_from_s > now_s:
            log_event(Event.WORKER_GONE, incarnation=self.incarnation)
            self.idle_from_s = now_s
            self.orders.cancel_all()
            self.news.set()

    async def _is_listed(self, task: TaskId, number: int) -> bool:
        """Read the lists until the worker answers, and return whether a start stands in them."""
        while not await self._list_once(0.0):
            await asyncio.sleep(RETRY_S)
        ended = {(each.task, each.number) for each in self.table.ended}
        return (task, number) in ended or (task, number) in self.table.running

    def _hold_clock(self) -> float | None:
        """Return until when the work is held, on the worker's clock.

        A worker that is silent is not held on, so that its work is over some time later.
        """
        silent_s = 0.0 if self.silent_since_s is None else awake_time() - self.silent_since_s
        if not self.held or self.clock_offset_s is None or silent_s > WORKER_SILENCE_S:
            return None
        if self._is_gone():
            return None
        self.idle_from_s = max(self.idle_from_s, self.held_until_s + LEASE_EXPIRY_S - HOLD_S)
        return self.held_until_s + self.clock_offset_s

    async def _report_forever(self) -> None:
        reported_s = float("-inf")
        while True:
            try:
                async with asyncio.timeout(BEAT_S):
                    await self.news.wait()
            except TimeoutError:
                pass
            self._note_hold()
            changed = self.news.is_set()
            self.news.clear()
            full = changed or loop_time() - reported_s >= REPORT_S
            if full:
                reported_s = loop_time()
            for link in list(self.links.values()):
                await self._tell(link, full=full)

    def _note_hold(self) -> None:
        if self.was_held and not self.held:
            log_event(Event.HOLD_LOST, epoch=self.epoch, tasks=len(self.table.running))
        self.was_held = self.held

    async def _tell(self, link: EntryLink, *, full: bool) -> None:
        self._sequence += 1
        message: Beat | Report = Beat(self._sequence, self.epoch)
        if full and link is self.owner:
            message = self._report()
        link.sent_s[self._sequence] = awake_time()
        for old in list(link.sent_s)[:-SEND_DEPTH]:
            del link.sent_s[old]
        await link.connection.send(message)

    def _report(self) -> Report:
        listed = self.registration.alive and self.listed_epoch == self.epoch
        if not listed:
            idle = awake_time() > self.idle_from_s
            return Report(self._sequence, self.epoch, None, idle=idle)
        return Report(
            self._sequence,
            self.epoch,
            self.registration.vm,
            self.table.rows(),
            self.table.ended,
            tuple(self.orders.unsettled),
            age_ms=int(1000 * (awake_time() - self.listed_s)),
        )

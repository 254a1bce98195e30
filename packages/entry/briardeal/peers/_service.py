"""The links of an entry to all others."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import attrs
from mode import Service

from briardeal.peers._configuration import ConfigurationExchange
from briardeal.peers._dialing import Dialer
from briardeal.peers._forwarding import Forwarder
from briardeal.peers._link import LEASE_S, PeerLink
from briardeal.peers._loads import ReportedLoad
from briardeal.peers._members import MemberBook
from briardeal.peers._session import PeerSession
from briardeal.peers._table import PeerTable
from briardeal.peers._traffic import Traffic
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_protocol.peers import ConfigurationRequest, PeerHeartbeat, PeerHello, PeerLeaving

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from briardeal.peers._interfaces import (
        ConfigurationSource,
        ForwardHandler,
        LoadSource,
        LogStatus,
    )
    from briardeal_core.metrics import Metrics
    from briardeal_protocol.peers import Member, PeerConnection, PeerListener, PeerNetwork

TICK_S = 0.25
DIAL_TIMEOUT_S = 1.0
REDIAL_GRACE_S = 1.0
"""How long a failure domain is kept after its stream went silent, while another is opened."""

DRAIN_TIMEOUT_S = 60.0


@attrs.frozen
class PeerHooks:
    """What the links use of the rest of the entry.

    Parameters
    ----------
    handler
        Runs requests that other entries pass on.
    configuration
        The configuration held.
    log_status
        What was read of the log.
    loads
        Load of the region.
    on_entries_changed
        Called with the agent addresses of all entries of the region when they change.
    """

    handler: ForwardHandler
    configuration: ConfigurationSource
    log_status: LogStatus
    loads: LoadSource
    on_entries_changed: Callable[[tuple[str, ...]], None]


class PeerService(Service):
    """Finds other entries, keeps links to them and forgets those that are silent.

    Parameters
    ----------
    myself
        This entry.
    network
        Opens and takes connections; `None` for an entry that stands alone.
    seeds
        Peer addresses to connect to first.
    hooks
        The rest of the entry.
    rng
        Source of jitter.
    metrics
        Where bytes are counted.
    """

    def __init__(
        self,
        myself: Member,
        network: PeerNetwork | None,
        seeds: tuple[str, ...],
        hooks: PeerHooks,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__()
        self.myself = myself
        self.network = network
        self.hooks = hooks
        self.book = MemberBook(myself, loop_time)
        self.table = PeerTable(self.book, loop_time)
        self.forwarder = Forwarder(self.table, hooks.handler)
        self.traffic = Traffic(metrics)
        self.dialer = Dialer(self.table, seeds, rng or random.Random())
        self.exchange = ConfigurationExchange(hooks.configuration, loop_time)
        self.reported_load = ReportedLoad(hooks.loads, self.table)
        self.sessions: dict[PeerLink, PeerSession] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.serving: set[asyncio.Task[None]] = set()
        self.listener: PeerListener | None = None
        self.told_entries: tuple[str, ...] = ()
        self.told_live: frozenset[tuple[str, int]] = frozenset()

    async def on_start(self) -> None:
        """Listen for other entries."""
        if self.network is not None:
            self.listener = await self.network.listen(self.myself.peer_address, self.serve)

    async def on_stop(self) -> None:
        """Close every link."""
        answering = [task for link in self.sessions for task in link.answering]
        for task in (*self.tasks, *answering):
            task.cancel()
        for link in list(self.sessions):
            await link.close()
        if self.listener is not None:
            await self.listener.close()
        await asyncio.gather(*self.tasks, *self.serving, *answering, return_exceptions=True)

    async def leave(self, timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Tell all that this entry leaves, and finish what others have passed on to it."""
        self.table.leaving = True
        for link in list(self.sessions):
            await link.send(PeerLeaving())
        self.state_changed()
        deadline_s = loop_time() + timeout_s
        while any(link.busy for link in self.sessions) and loop_time() < deadline_s:
            await asyncio.sleep(TICK_S)

    def state_changed(self, keep_s: float = LEASE_S) -> None:
        """Take in a change, and tell of it at once where it is among the live entries."""
        self.table.merge_domains(keep_s)
        if self.table.live() != self.told_live:
            self.told_live = self.table.live()
            for link in self.sessions:
                link.wake()
        entries = self.table.agent_addresses()
        if entries != self.told_entries:
            self.told_entries = entries
            self.hooks.on_entries_changed(entries)

    def peer_leaves(self, link: PeerLink) -> None:
        """Give no new work to an entry."""
        link.leaving = True
        log_event(Event.PEER_LEFT, peer=link.member.entry_id)
        self.state_changed()

    async def serve(self, connection: PeerConnection) -> None:
        """Serve a connection that another entry has opened."""
        task = asyncio.current_task()
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)
        link = None
        try:
            async with asyncio.timeout(LEASE_S):
                link = await self._accept(connection)
        except TimeoutError:
            pass
        if link is None or not self._admit(link):
            await connection.close()
            return
        await self._run(link)

    @Service.task
    async def _tick(self) -> None:
        while self.network is not None and not self.should_stop:
            self._expire()
            self._close_streams()
            for address in self.dialer.due():
                self._start(self._dial(address))
            self._exchange_configuration()
            self.forwarder.forget()
            await self.sleep(TICK_S)

    def _expire(self) -> None:
        for link in list(self.sessions):
            self.traffic.sample(link)
            if link.lapsed:
                self._start(link.close())
            else:
                self.book.saw(link.member)
        for member in self.table.remote_members():
            self.book.saw(member)
        self.book.forget()
        if any(domain.expires_s is not None for domain in self.table.domains.values()):
            self.state_changed()

    def _close_streams(self) -> None:
        for link in self.table.streams():
            if link.dialer == self.myself.entry_id and not self.dialer.carries(link.domain):
                self._retire(link)

    def _exchange_configuration(self) -> None:
        if self.exchange.changed():
            for link in self.sessions:
                link.wake()
        link = self.exchange.choose(list(self.table.links.values()))
        if link is not None:
            log_event(Event.CONFIGURATION_ASKED, peer=link.member.entry_id)
            self._start(link.send(ConfigurationRequest()))

    async def _dial(self, address: str) -> None:
        self.dialer.dialing.add(address)
        link = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                link = await self._introduce(address)
        except TimeoutError:
            pass
        finally:
            self.dialer.dialing.discard(address)
        if link is None:
            self.dialer.failed(address)
            return
        if self._is_wanted(link) and self._admit(link):
            await self._run(link)
        if loop_time() - link.opened_s < LEASE_S:
            self.dialer.failed(address)
        await link.close()

    async def _introduce(self, address: str) -> PeerLink | None:
        connection = await self.network.connect(address)
        if isinstance(connection, Closed):
            return None
        try:
            await connection.send(PeerHello(self.myself, self.book.news()))
            hello = await connection.receive()
        except asyncio.CancelledError:
            await connection.close()
            raise
        if not isinstance(hello, PeerHello):
            await connection.close()
            return None
        self._learn(hello)
        return PeerLink(connection, hello.member, self.myself.entry_id)

    async def _accept(self, connection: PeerConnection) -> PeerLink | None:
        hello = await connection.receive()
        if not isinstance(hello, PeerHello):
            return None
        self._learn(hello)
        await connection.send(PeerHello(self.myself, self.book.news()))
        heartbeat = await connection.receive()
        while not isinstance(heartbeat, PeerHeartbeat | Closed):
            heartbeat = await connection.receive()
        if isinstance(heartbeat, Closed):
            return None
        link = PeerLink(connection, hello.member, hello.member.entry_id)
        link.take(heartbeat)
        return link

    def _learn(self, hello: PeerHello) -> None:
        self.book.learn(hello.known)
        self.book.saw(hello.member)

    def _is_wanted(self, link: PeerLink) -> bool:
        if link.member.entry_id == self.myself.entry_id:
            return False
        return self.table.is_near(link.member) or self.dialer.wants_stream(link.domain)

    def _admit(self, link: PeerLink) -> bool:
        known = self.table.links.get(link.member.entry_id)
        if known is not None and not _supersedes(link, known):
            return False
        for other in list(self.table.links.values()):
            if self._is_replaced_by(other, link):
                self._retire(other)
        self.table.links[link.member.entry_id] = link
        self.sessions[link] = PeerSession(self, link)
        self._log_opened(link, known)
        self.state_changed()
        return True

    def _is_replaced_by(self, other: PeerLink, link: PeerLink) -> bool:
        if other.member.entry_id == link.member.entry_id:
            return True
        same_address = other.member.peer_address == link.member.peer_address
        older = other.member.incarnation < link.member.incarnation
        same_stream = not self.table.is_near(link.member) and other.domain == link.domain
        return same_stream or (same_address and older)

    async def _run(self, link: PeerLink) -> None:
        try:
            await self.sessions[link].run()
        finally:
            self._drop(link)
            await link.close()

    def _retire(self, link: PeerLink) -> None:
        """Give a link no new work and close it when it has finished what it holds."""
        self._remove(link)
        self._start(_close_when_idle(link))

    def _drop(self, link: PeerLink) -> None:
        self.traffic.sample(link)
        self.sessions.pop(link, None)
        if link.leaving:
            self.book.mark_left(link.member)
        if self.table.links.get(link.member.entry_id) is link:
            self._remove(link, REDIAL_GRACE_S if link.lapsed else LEASE_S)

    def _remove(self, link: PeerLink, keep_s: float = LEASE_S) -> None:
        del self.table.links[link.member.entry_id]
        near = self.table.is_near(link.member)
        event = Event.PEER_LOST if near else Event.STREAM_CLOSED
        log_event(event, peer=link.member.entry_id, region=link.member.region)
        self.state_changed(keep_s)

    def _log_opened(self, link: PeerLink, known: PeerLink | None) -> None:
        event = Event.PEER_JOINED if self.table.is_near(link.member) else Event.STREAM_OPENED
        if known is not None and known.member.incarnation < link.member.incarnation:
            event = Event.PEER_REPLACED
        log_event(event, peer=link.member.entry_id, region=link.member.region)

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _supersedes(link: PeerLink, known: PeerLink) -> bool:
    """Return whether a link takes the place of another to the same entry.

    Both ends decide alike when each has dialed the other at the same time.
    """
    if link.member.incarnation != known.member.incarnation:
        return link.member.incarnation > known.member.incarnation
    return link.dialer == min(link.dialer, known.dialer)


async def _close_when_idle(link: PeerLink) -> None:
    deadline_s = loop_time() + DRAIN_TIMEOUT_S
    while link.busy and loop_time() < deadline_s:
        await asyncio.sleep(TICK_S)
    await link.close()

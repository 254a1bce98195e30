"""Service that maintains the links of an entry to all others."""

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
from briardeal.peers._members import MemberRegistry
from briardeal.peers._session import PeerSession
from briardeal.peers._table import PeerTable
from briardeal.peers._traffic import TrafficCounter
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

POLL_INTERVAL_S = 0.25
DIAL_TIMEOUT_S = 1.0
REDIAL_GRACE_S = 1.0
"""Time for which a failure domain stays known after the lease of its link expired, in seconds.

A new stream to it can be opened within this time.
"""

DRAIN_TIMEOUT_S = 60.0


@attrs.frozen
class PeerHooks:
    """Parts of the entry that the peer service uses.

    Parameters
    ----------
    handler
        Runs requests that other entries forward.
    configuration
        Current configuration of the entry.
    log_status
        Progress in reading the log.
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
    """Discovers other entries, maintains links to them and closes links whose lease has expired.

    Parameters
    ----------
    local_member
        This entry.
    network
        Opens and accepts connections; `None` for an entry that runs without peers.
    seeds
        Peer addresses to connect to first.
    hooks
        Parts of the entry that the service uses.
    rng
        Source of jitter.
    metrics
        Metrics of the process; `None` to count no bytes.
    """

    def __init__(
        self,
        local_member: Member,
        network: PeerNetwork | None,
        seeds: tuple[str, ...],
        hooks: PeerHooks,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__()
        self.local_member = local_member
        self.network = network
        self.hooks = hooks
        self.registry = MemberRegistry(local_member, loop_time)
        self.table = PeerTable(self.registry, loop_time)
        self.forwarder = Forwarder(self.table, hooks.handler)
        self.traffic = TrafficCounter(metrics)
        self.dialer = Dialer(self.table, seeds, rng or random.Random())
        self.configuration_exchange = ConfigurationExchange(hooks.configuration, loop_time)
        self.reported_load = ReportedLoad(hooks.loads, self.table)
        self.sessions: dict[PeerLink, PeerSession] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.serve_tasks: set[asyncio.Task[None]] = set()
        self.listener: PeerListener | None = None
        self.announced_entries: tuple[str, ...] = ()
        self.announced_live: frozenset[tuple[str, int]] = frozenset()

    async def on_start(self) -> None:
        """Start to listen for other entries."""
        if self.network is not None:
            self.listener = await self.network.listen(self.local_member.peer_address, self.serve)

    async def on_stop(self) -> None:
        """Close every link."""
        pending_tasks = [task for link in self.sessions for task in link.pending_tasks]
        for task in (*self.tasks, *pending_tasks):
            task.cancel()
        for link in list(self.sessions):
            await link.close()
        if self.listener is not None:
            await self.listener.close()
        await asyncio.gather(*self.tasks, *self.serve_tasks, *pending_tasks, return_exceptions=True)

    async def leave(self, timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        """Announce that this entry is leaving and finish pending forwards."""
        self.table.leaving = True
        for link in list(self.sessions):
            await link.send(PeerLeaving())
        self.apply_state_change()
        deadline_s = loop_time() + timeout_s
        while any(link.busy for link in self.sessions) and loop_time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def apply_state_change(self, grace_s: float = LEASE_S) -> None:
        """Merge changed failure domains and announce changes of the live entries immediately.

        Parameters
        ----------
        grace_s
            Time after which a failure domain that no link reports is removed, in seconds.
        """
        self.table.merge_domains(grace_s)
        if self.table.live_entries() != self.announced_live:
            self.announced_live = self.table.live_entries()
            for link in self.sessions:
                link.request_heartbeat()
        entries = self.table.agent_addresses()
        if entries != self.announced_entries:
            self.announced_entries = entries
            self.hooks.on_entries_changed(entries)

    def mark_peer_leaving(self, link: PeerLink) -> None:
        """Stop sending new work to an entry that is shutting down."""
        link.leaving = True
        log_event(Event.PEER_LEFT, peer=link.member.entry_id)
        self.apply_state_change()

    async def serve(self, connection: PeerConnection) -> None:
        """Handle a connection that another entry has opened until it closes."""
        task = asyncio.current_task()
        self.serve_tasks.add(task)
        task.add_done_callback(self.serve_tasks.discard)
        link = None
        try:
            async with asyncio.timeout(LEASE_S):
                link = await self._accept(connection)
        except TimeoutError:
            pass
        if link is None or not self._register_link(link):
            await connection.close()
            return
        await self._run_session(link)

    @Service.task
    async def _maintain_links(self) -> None:
        while self.network is not None and not self.should_stop:
            self._expire_links()
            self._retire_streams()
            for address in self.dialer.due_addresses():
                self._start_task(self._dial(address))
            self._request_configuration()
            self.forwarder.remove_expired()
            await self.sleep(POLL_INTERVAL_S)

    def _expire_links(self) -> None:
        for link in list(self.sessions):
            self.traffic.sample(link)
            if link.expired:
                self._start_task(link.close())
            else:
                self.registry.record_alive(link.member)
        for member in self.table.remote_members():
            self.registry.record_alive(member)
        self.registry.remove_expired()
        if any(domain.expires_s is not None for domain in self.table.domains.values()):
            self.apply_state_change()

    def _retire_streams(self) -> None:
        for link in self.table.streams():
            if link.dialer == self.local_member.entry_id and not self.dialer.maintains_stream(
                link.domain
            ):
                self._retire_link(link)

    def _request_configuration(self) -> None:
        if self.configuration_exchange.poll_version_change():
            for link in self.sessions:
                link.request_heartbeat()
        link = self.configuration_exchange.choose_link(list(self.table.links.values()))
        if link is not None:
            log_event(Event.CONFIGURATION_ASKED, peer=link.member.entry_id)
            self._start_task(link.send(ConfigurationRequest()))

    async def _dial(self, address: str) -> None:
        self.dialer.dialing.add(address)
        link = None
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                link = await self._connect(address)
        except TimeoutError:
            pass
        finally:
            self.dialer.dialing.discard(address)
        if link is None:
            self.dialer.record_failure(address)
            return
        if self._is_needed(link) and self._register_link(link):
            await self._run_session(link)
        if loop_time() - link.opened_s < LEASE_S:
            self.dialer.record_failure(address)
        await link.close()

    async def _connect(self, address: str) -> PeerLink | None:
        connection = await self.network.connect(address)
        if isinstance(connection, Closed):
            return None
        try:
            await connection.send(PeerHello(self.local_member, self.registry.statuses()))
            hello = await connection.receive()
        except asyncio.CancelledError:
            await connection.close()
            raise
        if not isinstance(hello, PeerHello):
            await connection.close()
            return None
        self._merge_hello(hello)
        return PeerLink(connection, hello.member, self.local_member.entry_id)

    async def _accept(self, connection: PeerConnection) -> PeerLink | None:
        hello = await connection.receive()
        if not isinstance(hello, PeerHello):
            return None
        self._merge_hello(hello)
        await connection.send(PeerHello(self.local_member, self.registry.statuses()))
        heartbeat = await connection.receive()
        while not isinstance(heartbeat, PeerHeartbeat | Closed):
            heartbeat = await connection.receive()
        if isinstance(heartbeat, Closed):
            return None
        link = PeerLink(connection, hello.member, hello.member.entry_id)
        link.record_message(heartbeat)
        return link

    def _merge_hello(self, hello: PeerHello) -> None:
        self.registry.merge(hello.known)
        self.registry.record_alive(hello.member)

    def _is_needed(self, link: PeerLink) -> bool:
        if link.member.entry_id == self.local_member.entry_id:
            return False
        return self.table.is_same_region(link.member) or self.dialer.should_open_stream(link.domain)

    def _register_link(self, link: PeerLink) -> bool:
        known = self.table.links.get(link.member.entry_id)
        if known is not None and not _supersedes(link, known):
            return False
        for other in list(self.table.links.values()):
            if self._is_replaced_by(other, link):
                self._retire_link(other)
        self.table.links[link.member.entry_id] = link
        self.sessions[link] = PeerSession(self, link)
        self._log_opened(link, known)
        self.apply_state_change()
        return True

    def _is_replaced_by(self, other: PeerLink, link: PeerLink) -> bool:
        if other.member.entry_id == link.member.entry_id:
            return True
        same_address = other.member.peer_address == link.member.peer_address
        older = other.member.incarnation < link.member.incarnation
        same_stream = not self.table.is_same_region(link.member) and other.domain == link.domain
        return same_stream or (same_address and older)

    async def _run_session(self, link: PeerLink) -> None:
        try:
            await self.sessions[link].run()
        finally:
            self._unregister_session(link)
            await link.close()

    def _retire_link(self, link: PeerLink) -> None:
        """Remove a link from the table and close it once its pending work has finished."""
        self._remove_link(link)
        self._start_task(_close_when_idle(link))

    def _unregister_session(self, link: PeerLink) -> None:
        self.traffic.sample(link)
        self.sessions.pop(link, None)
        if link.leaving:
            self.registry.mark_left(link.member)
        if self.table.links.get(link.member.entry_id) is link:
            self._remove_link(link, REDIAL_GRACE_S if link.expired else LEASE_S)

    def _remove_link(self, link: PeerLink, grace_s: float = LEASE_S) -> None:
        del self.table.links[link.member.entry_id]
        same_region = self.table.is_same_region(link.member)
        event = Event.PEER_LOST if same_region else Event.STREAM_CLOSED
        log_event(event, peer=link.member.entry_id, region=link.member.region)
        self.apply_state_change(grace_s)

    def _log_opened(self, link: PeerLink, known: PeerLink | None) -> None:
        event = Event.PEER_JOINED if self.table.is_same_region(link.member) else Event.STREAM_OPENED
        if known is not None and known.member.incarnation < link.member.incarnation:
            event = Event.PEER_REPLACED
        log_event(event, peer=link.member.entry_id, region=link.member.region)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _supersedes(link: PeerLink, known: PeerLink) -> bool:
    """Return whether a new link replaces an existing one to the same entry.

    If both ends have dialed each other at the same time, both choose the same link.
    """
    if link.member.incarnation != known.member.incarnation:
        return link.member.incarnation > known.member.incarnation
    return link.dialer == min(link.dialer, known.dialer)


async def _close_when_idle(link: PeerLink) -> None:
    deadline_s = loop_time() + DRAIN_TIMEOUT_S
    while link.busy and loop_time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    await link.close()

"""Exchange of messages over one link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal.peers._bridges import FailureDomainId
from briardeal.peers._updates import DomainView, StateUpdateBuilder, StateUpdateReader
from briardeal_core.events import Event, log_event
from briardeal_protocol.connections import Closed
from briardeal_protocol.peers import (
    ConfigurationOffer,
    ConfigurationRequest,
    Forward,
    Members,
    PeerHeartbeat,
    PeerLeaving,
    Resync,
    StateUpdate,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from briardeal.peers._link import PeerLink
    from briardeal.peers._service import PeerService
    from briardeal.peers._table import RemoteDomain
    from briardeal_protocol.peers import PeerMessage

MEMBERS_INTERVAL_S = 2.0
RESYNC_INTERVAL_S = 1.0


class PeerSession:
    """Sends heartbeats and updates to one entry and handles the messages received from it.

    Parameters
    ----------
    service
        Service that maintains the links of this entry.
    link
        Link to the entry.
    """

    def __init__(self, service: PeerService, link: PeerLink) -> None:
        self.service = service
        self.link = link
        self.table = service.table
        self.update_builder = StateUpdateBuilder()
        self.update_reader = StateUpdateReader(link, service.table.is_same_region(link.member))
        self.members_sent_s = -MEMBERS_INTERVAL_S
        self.resync_requested_s = -RESYNC_INTERVAL_S

    async def run(self) -> Closed:
        """Send heartbeats and handle messages until the connection closes."""
        sending = asyncio.create_task(self._send_heartbeats())
        try:
            while not isinstance(message := await self.link.connection.receive(), Closed):
                self.link.record_message(message)
                self._handle(message)
            return message
        finally:
            sending.cancel()
            await asyncio.wait([sending])

    def request_resync(self) -> None:
        """Request a full update, at most once per `RESYNC_INTERVAL_S`."""
        if self.table.now_s() - self.resync_requested_s < RESYNC_INTERVAL_S:
            return
        self.resync_requested_s = self.table.now_s()
        log_event(Event.STATE_RESYNCED, peer=self.link.member.entry_id)
        self._start_task(self.link.send(Resync()))

    async def _send_heartbeats(self) -> None:
        await self.link.send(self._heartbeat())
        while True:
            update = self.update_builder.next_update(self._current_views(), set(self.table.domains))
            if update is not None:
                await self.link.send(update)
            await self.link.send(self._heartbeat())
            await self.link.wait_until_heartbeat_due()

    def _heartbeat(self) -> PeerHeartbeat:
        self.link.sequence += 1
        hooks = self.service.hooks
        last_read_s = hooks.log_status.last_read_s()
        log_age_ms = -1
        if last_read_s is not None:
            log_age_ms = round((self.table.now_s() - last_read_s) * 1000)
        return PeerHeartbeat(
            sequence=self.link.sequence,
            last_received=0 if self.link.heartbeat is None else self.link.heartbeat.sequence,
            members_digest=self.table.registry.digest(),
            updates=self.update_builder.sequence,
            configuration=hooks.configuration.version(),
            log_age_ms=log_age_ms,
            log_token=hooks.log_status.highest_token(),
        )

    def _current_views(self) -> dict[FailureDomainId, DomainView]:
        """Return the failure domains to report to the peer."""
        own = FailureDomainId.of(self.table.local_member)
        if self.link.member.region != own.region:
            return {own: self._local_view()}
        if self.link.domain != own:
            return {}
        return {
            name: DomainView(dict(domain.members), domain.load, dict(domain.services))
            for name, domain in self.table.domains.items()
            if self._is_reported(domain)
        }

    def _is_reported(self, domain: RemoteDomain) -> bool:
        """Return whether a failure domain is reported to an entry of the same failure domain.

        One that no link reports any more is not announced to a peer that does not know it yet.
        """
        if domain.expires_s is not None and domain.name not in self.update_builder.sent:
            return False
        return not domain.relayed

    def _local_view(self) -> DomainView:
        load = self.service.reported_load.current()
        services = {service.service: service for service in load.services}
        members = {member.entry_id: member for member in self.table.domain_members()}
        return DomainView(members, msgspec.structs.replace(load, services=()), services)

    def _handle(self, message: PeerMessage) -> None:
        match message:
            case PeerHeartbeat():
                self._compare_heartbeat(message)
            case Members():
                self.table.registry.merge(message.known)
            case StateUpdate():
                self._apply_update(message)
            case Resync():
                self.update_builder.resync()
                self.link.request_heartbeat()
            case Forward():
                self._start_task(self._answer_forward(message))
            case PeerLeaving():
                self.service.mark_peer_leaving(self.link)
            case ConfigurationRequest():
                source = self.service.hooks.configuration
                offer = ConfigurationOffer(source.version(), source.value())
                self._start_task(self.link.send(offer))
            case ConfigurationOffer():
                self.service.hooks.configuration.offer(message.version, message.value)

    def _compare_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        now_s = self.table.now_s()
        differs = heartbeat.members_digest != self.table.registry.digest()
        if differs and now_s - self.members_sent_s >= MEMBERS_INTERVAL_S:
            self.members_sent_s = now_s
            self._start_task(self.link.send(Members(self.table.registry.statuses())))
        if heartbeat.updates != self.update_reader.sequence:
            self.request_resync()

    def _apply_update(self, update: StateUpdate) -> None:
        if not self.update_reader.apply(update, self.table.now_s()):
            self.request_resync()
        self.service.apply_state_change()

    async def _answer_forward(self, forward: Forward) -> None:
        reply = await self.service.forwarder.handle_forward(forward)
        await self.link.send(reply)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.link.track_task(asyncio.create_task(coroutine))

"""What is said over one link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal.peers._carriers import DomainName
from briardeal.peers._updates import DomainView, StateReader, StateTeller
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
    """Heartbeats and updates to one entry, and the handling of what it sends.

    Parameters
    ----------
    service
        The links of this entry.
    link
        The link.
    """

    def __init__(self, service: PeerService, link: PeerLink) -> None:
        self.service = service
        self.link = link
        self.table = service.table
        self.teller = StateTeller()
        self.reader = StateReader(link, service.table.is_near(link.member))
        self.members_told_s = -MEMBERS_INTERVAL_S
        self.resync_asked_s = -RESYNC_INTERVAL_S

    async def run(self) -> Closed:
        """Speak and listen until the connection ends."""
        speaking = asyncio.create_task(self._speak())
        try:
            while not isinstance(message := await self.link.connection.receive(), Closed):
                self.link.take(message)
                self._handle(message)
            return message
        finally:
            speaking.cancel()
            await asyncio.wait([speaking])

    def ask_resync(self) -> None:
        """Ask for a full update, unless one was asked for just now."""
        if self.table.now_s() - self.resync_asked_s < RESYNC_INTERVAL_S:
            return
        self.resync_asked_s = self.table.now_s()
        log_event(Event.STATE_RESYNCED, peer=self.link.member.entry_id)
        self._start(self.link.send(Resync()))

    async def _speak(self) -> None:
        await self.link.send(self._heartbeat())
        while True:
            update = self.teller.next_update(self._views(), set(self.table.domains))
            if update is not None:
                await self.link.send(update)
            await self.link.send(self._heartbeat())
            await self.link.wait_heartbeat()

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
            members_digest=self.table.book.digest(),
            updates=self.teller.sequence,
            configuration=hooks.configuration.version(),
            log_age_ms=log_age_ms,
            log_token=hooks.log_status.highest_token(),
        )

    def _views(self) -> dict[DomainName, DomainView]:
        """Return the failure domains that the other end is told of."""
        own = DomainName.of(self.table.myself)
        if self.link.member.region != own.region:
            return {own: self._own_view()}
        if self.link.domain != own:
            return {}
        return {
            name: DomainView(dict(domain.members), domain.load, dict(domain.services))
            for name, domain in self.table.domains.items()
            if self._is_told(domain)
        }

    def _is_told(self, domain: RemoteDomain) -> bool:
        """Return whether this entry tells a neighbour of a failure domain.

        One that may soon be forgotten is not told to those who have not heard of it.
        """
        if domain.expires_s is not None and domain.name not in self.teller.told:
            return False
        return not domain.relayed

    def _own_view(self) -> DomainView:
        load = self.service.own_load.current()
        services = {service.service: service for service in load.services}
        members = {member.entry_id: member for member in self.table.domain_members()}
        return DomainView(members, msgspec.structs.replace(load, services=()), services)

    def _handle(self, message: PeerMessage) -> None:
        match message:
            case PeerHeartbeat():
                self._compare(message)
            case Members():
                self.table.book.learn(message.known)
            case StateUpdate():
                self._take_update(message)
            case Resync():
                self.teller.resync()
                self.link.wake()
            case Forward():
                self._start(self._answer(message))
            case PeerLeaving():
                self.service.peer_leaves(self.link)
            case ConfigurationRequest():
                source = self.service.hooks.configuration
                offer = ConfigurationOffer(source.version(), source.value())
                self._start(self.link.send(offer))
            case ConfigurationOffer():
                self.service.hooks.configuration.offer(message.version, message.value)

    def _compare(self, heartbeat: PeerHeartbeat) -> None:
        now_s = self.table.now_s()
        differs = heartbeat.members_digest != self.table.book.digest()
        if differs and now_s - self.members_told_s >= MEMBERS_INTERVAL_S:
            self.members_told_s = now_s
            self._start(self.link.send(Members(self.table.book.news())))
        if heartbeat.updates != self.reader.sequence:
            self.ask_resync()

    def _take_update(self, update: StateUpdate) -> None:
        if not self.reader.take(update, self.table.now_s()):
            self.ask_resync()
        self.service.state_changed()

    async def _answer(self, forward: Forward) -> None:
        reply = await self.service.forwarder.take(forward)
        await self.link.send(reply)

    def _start(self, work: Coroutine[Any, Any, Any]) -> None:
        self.link.answer(asyncio.create_task(work))

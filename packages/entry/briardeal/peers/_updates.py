"""State of failure domains, told to a link as changes and read from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal.peers._carriers import DomainName
from briardeal.peers._table import RemoteDomain
from briardeal_protocol.peers import DomainLoad, DomainLost, DomainUpdate, Member, StateUpdate

if TYPE_CHECKING:
    from briardeal.peers._link import PeerLink
    from briardeal_protocol.peers import ServiceLoad

SLOTS_STEP = 1 / 8
"""Share of a service's slots by which its free slots must move to be told again."""


@attrs.frozen
class DomainView:
    """A failure domain as an entry tells it.

    Parameters
    ----------
    members
        Entries that are alive, by name.
    load
        Load without services.
    services
        Load by service.
    """

    members: dict[str, Member]
    load: DomainLoad
    services: dict[str, ServiceLoad]


class StateTeller:
    """Tells one link what has changed since it was told last.

    Attributes
    ----------
    sequence
        Number of updates told.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.told: dict[DomainName, DomainView] = {}
        self.full = False

    def resync(self) -> None:
        """Tell everything with the next update."""
        self.told.clear()
        self.full = True

    def next_update(self, views: dict[DomainName, DomainView], kept: set) -> StateUpdate | None:
        """Return what to tell, or `None` where nothing has changed.

        Parameters
        ----------
        views
            The failure domains that this link is told of.
        kept
            Failure domains that are known through others, so that a loss is a handover.
        """
        changes = [self._change(name, view) for name, view in views.items()]
        domains = tuple(change for change in changes if change is not None)
        lost = tuple(
            DomainLost(name.region, name.failure_domain, name in kept)
            for name in self.told
            if name not in views
        )
        if not (domains or lost or self.full):
            return None
        for gone in lost:
            del self.told[DomainName(gone.region, gone.failure_domain)]
        self.sequence += 1
        update = StateUpdate(self.sequence, self.full, domains, lost)
        self.full = False
        return update

    def _change(self, name: DomainName, view: DomainView) -> DomainUpdate | None:
        told = self.told.get(name)
        if told is None:
            self.told[name] = view
            load = msgspec.structs.replace(view.load, services=tuple(view.services.values()))
            members = tuple(view.members.values())
            return DomainUpdate(name.region, name.failure_domain, True, members, load=load)
        members = tuple(m for m in view.members.values() if told.members.get(m.entry_id) != m)
        gone = tuple(told.members.keys() - view.members.keys())
        services = tuple(s for s in view.services.values() if _moved(told.services, s))
        services_gone = tuple(told.services.keys() - view.services.keys())
        if not (members or gone or services or services_gone or told.load != view.load):
            return None
        current = {name: told.services.get(name, new) for name, new in view.services.items()}
        current.update((service.service, service) for service in services)
        self.told[name] = DomainView(view.members, view.load, current)
        load = msgspec.structs.replace(view.load, services=services)
        return DomainUpdate(
            name.region, name.failure_domain, False, members, gone, load, services_gone
        )


class StateReader:
    """Takes the updates of one link.

    Parameters
    ----------
    link
        The link, which holds the failure domains that its other end tells of.
    relayed
        Whether the other end is a neighbour, which has the streams to them.
    """

    def __init__(self, link: PeerLink, relayed: bool) -> None:
        self.link = link
        self.relayed = relayed
        self.sequence = 0

    def take(self, update: StateUpdate, now_s: float) -> bool:
        """Take an update; return `False` where something is missing before it."""
        if update.full:
            self.link.domains.clear()
        elif update.sequence <= self.sequence:
            return True
        elif update.sequence != self.sequence + 1:
            return False
        self.sequence = update.sequence
        for lost in update.lost:
            self._lose(lost, now_s)
        return all([self._apply(change, now_s) for change in update.domains])

    def _apply(self, change: DomainUpdate, now_s: float) -> bool:
        name = DomainName(change.region, change.failure_domain)
        load = change.load or DomainLoad()
        if change.full:
            source = self.link.member.entry_id
            self.link.domains[name] = RemoteDomain(name, source, self.relayed, {}, load, {})
        domain = self.link.domains.get(name)
        if domain is None:
            return False
        domain.members.update((member.entry_id, member) for member in change.members)
        domain.services.update((service.service, service) for service in load.services)
        for entry_id in change.removed_members:
            domain.members.pop(entry_id, None)
        for service in change.removed_services:
            domain.services.pop(service, None)
        domain.load = msgspec.structs.replace(load, services=())
        domain.heard_s = now_s
        return True

    def _lose(self, lost: DomainLost, now_s: float) -> None:
        name = DomainName(lost.region, lost.failure_domain)
        domain = self.link.domains.pop(name, None)
        if domain is not None and not lost.handover:
            domain.expires_s = now_s


def _moved(told: dict[str, ServiceLoad], new: ServiceLoad) -> bool:
    old = told.get(new.service)
    if old is None or (old.endpoints, old.slots) != (new.endpoints, new.slots):
        return True
    if (old.free_slots == 0) != (new.free_slots == 0):
        return True
    return abs(old.free_slots - new.free_slots) >= max(1.0, new.slots * SLOTS_STEP)

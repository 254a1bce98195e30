"""Incremental updates about the state of failure domains, sent and received on a link."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal.peers._bridges import FailureDomainId
from briardeal.peers._table import RemoteDomain
from briardeal_protocol.peers import DomainLoad, DomainLost, DomainUpdate, Member, StateUpdate

if TYPE_CHECKING:
    from briardeal.peers._link import PeerLink
    from briardeal_protocol.peers import ServiceLoad

SLOTS_STEP = 1 / 8
"""Change of free slots, as a share of a service's slots, from which an update is sent."""


@attrs.frozen
class DomainView:
    """State of a failure domain as an entry reports it.

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


class StateUpdateBuilder:
    """Builds the updates for one link from what has changed since the previous one.

    Attributes
    ----------
    sequence
        Number of updates built.
    sent
        State that the peer knows from these updates, by failure domain.
    full
        Whether the next update replaces the complete state that earlier updates sent.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.sent: dict[FailureDomainId, DomainView] = {}
        self.full = False

    def resync(self) -> None:
        """Make the next update a full one."""
        self.sent.clear()
        self.full = True

    def next_update(
        self, views: dict[FailureDomainId, DomainView], still_known: set
    ) -> StateUpdate | None:
        """Return the next update, or `None` if nothing has changed.

        Parameters
        ----------
        views
            State of the failure domains to report on this link.
        still_known
            Failure domains known through other entries; the loss of one is reported as a handover.
        """
        changes = [self._change(name, view) for name, view in views.items()]
        domains = tuple(change for change in changes if change is not None)
        lost = tuple(
            DomainLost(name.region, name.failure_domain, name in still_known)
            for name in self.sent
            if name not in views
        )
        if not (domains or lost or self.full):
            return None
        for domain in lost:
            del self.sent[FailureDomainId(domain.region, domain.failure_domain)]
        self.sequence += 1
        update = StateUpdate(self.sequence, self.full, domains, lost)
        self.full = False
        return update

    def _change(self, name: FailureDomainId, view: DomainView) -> DomainUpdate | None:
        sent = self.sent.get(name)
        if sent is None:
            self.sent[name] = view
            load = msgspec.structs.replace(view.load, services=tuple(view.services.values()))
            members = tuple(view.members.values())
            return DomainUpdate(name.region, name.failure_domain, True, members, load=load)
        members = tuple(m for m in view.members.values() if sent.members.get(m.entry_id) != m)
        removed = tuple(sent.members.keys() - view.members.keys())
        services = tuple(s for s in view.services.values() if _differs(sent.services, s))
        services_removed = tuple(sent.services.keys() - view.services.keys())
        if not (members or removed or services or services_removed or sent.load != view.load):
            return None
        current = {name: sent.services.get(name, new) for name, new in view.services.items()}
        current.update((service.service, service) for service in services)
        self.sent[name] = DomainView(view.members, view.load, current)
        load = msgspec.structs.replace(view.load, services=services)
        return DomainUpdate(
            name.region, name.failure_domain, False, members, removed, load, services_removed
        )


class StateUpdateReader:
    """Applies the updates received on one link.

    Parameters
    ----------
    link
        The link, which stores the failure domains that the peer reports.
    relayed
        Whether the peer is a bridge of this failure domain, which passes the reports on.
    """

    def __init__(self, link: PeerLink, relayed: bool) -> None:
        self.link = link
        self.relayed = relayed
        self.sequence = 0

    def apply(self, update: StateUpdate, now_s: float) -> bool:
        """Apply an update; return `False` if an earlier one is missing."""
        if update.full:
            self.link.domains.clear()
        elif update.sequence <= self.sequence:
            return True
        elif update.sequence != self.sequence + 1:
            return False
        self.sequence = update.sequence
        for lost in update.lost:
            self._remove_domain(lost, now_s)
        return all([self._apply_change(change, now_s) for change in update.domains])

    def _apply_change(self, change: DomainUpdate, now_s: float) -> bool:
        name = FailureDomainId(change.region, change.failure_domain)
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
        domain.updated_s = now_s
        return True

    def _remove_domain(self, lost: DomainLost, now_s: float) -> None:
        name = FailureDomainId(lost.region, lost.failure_domain)
        domain = self.link.domains.pop(name, None)
        if domain is not None and not lost.handover:
            domain.expires_s = now_s


def _differs(sent: dict[str, ServiceLoad], new: ServiceLoad) -> bool:
    old = sent.get(new.service)
    if old is None or (old.endpoints, old.slots) != (new.endpoints, new.slots):
        return True
    if (old.free_slots == 0) != (new.free_slots == 0):
        return True
    return abs(old.free_slots - new.free_slots) >= max(1.0, new.slots * SLOTS_STEP)

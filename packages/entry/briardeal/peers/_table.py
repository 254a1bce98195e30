"""Table of links to other entries and of failure domains in other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.peers._bridges import FailureDomainId
from briardeal.peers._link import LEASE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.peers._link import PeerLink
    from briardeal.peers._members import MemberRegistry
    from briardeal_protocol.peers import DomainLoad, Member, ServiceLoad


@attrs.frozen
class LogState:
    """Progress of a peer in reading the log, from its last heartbeat.

    Parameters
    ----------
    entry_id, incarnation, region, failure_domain
        The peer.
    heartbeat_age_s
        Seconds since its last heartbeat was received.
    read_age_s
        Seconds since its last successful log read; `None` if never.
    highest_token
        Highest fencing token that it has read.
    """

    entry_id: str
    incarnation: int
    region: str
    failure_domain: str
    heartbeat_age_s: float
    read_age_s: float | None
    highest_token: int


@attrs.define
class RemoteDomain:
    """A failure domain of another region.

    Parameters
    ----------
    name
        The failure domain.
    source
        Name of the entry that reports it.
    relayed
        Whether that entry is a bridge of this failure domain, which passes the reports on.
    members
        Entries that are alive, by name.
    load
        Load of the failure domain without its services.
    services
        Load by service.
    updated_s
        When it was last updated, on the event loop's clock.
    expires_s
        When it is removed unless another entry reports it; `None` while the source reports it.
    """

    name: FailureDomainId
    source: str
    relayed: bool
    members: dict[str, Member]
    load: DomainLoad
    services: dict[str, ServiceLoad]
    updated_s: float = 0.0
    expires_s: float | None = None


class PeerTable:
    """Links to other entries and the failure domains that they report.

    Parameters
    ----------
    registry
        Known members, alive or not.
    now_s
        Clock of the event loop.

    Attributes
    ----------
    links
        Links within the region and streams to other regions, by the name of the entry.
    domains
        Failure domains of other regions.
    leaving
        Whether this entry is shutting down and accepts no new work.
    """

    def __init__(self, registry: MemberRegistry, now_s: Callable[[], float]) -> None:
        self.registry = registry
        self.now_s = now_s
        self.local_member = registry.local_member
        self.links: dict[str, PeerLink] = {}
        self.domains: dict[FailureDomainId, RemoteDomain] = {}
        self.leaving = False

    def region_links(self) -> list[PeerLink]:
        """Return the links to entries of this region."""
        return [link for link in self.links.values() if self.is_same_region(link.member)]

    def streams(self) -> list[PeerLink]:
        """Return the links to entries of other regions."""
        return [link for link in self.links.values() if not self.is_same_region(link.member)]

    def is_same_region(self, member: Member) -> bool:
        """Return whether a member belongs to the region of this entry."""
        return member.region == self.local_member.region

    def region_members(self) -> list[Member]:
        """Return the entries of this region that accept work, this one included, by name."""
        members = [link.member for link in self.region_links() if not link.leaving]
        if not self.leaving:
            members.append(self.local_member)
        return sorted(members, key=lambda member: member.entry_id)

    def domain_members(self) -> list[Member]:
        """Return the entries of this failure domain that accept work, in the same way."""
        own = FailureDomainId.of(self.local_member)
        return [member for member in self.region_members() if FailureDomainId.of(member) == own]

    def remote_members(self) -> list[Member]:
        """Return the live entries of other regions."""
        return [member for domain in self.domains.values() for member in domain.members.values()]

    def live_entries(self) -> frozenset[tuple[str, int]]:
        """Return name and incarnation of every entry that accepts work, this one included."""
        members = [*self.region_members(), *self.remote_members()]
        return frozenset((member.entry_id, member.incarnation) for member in members)

    def agent_addresses(self) -> tuple[str, ...]:
        """Return the sorted agent addresses of the entries of this region that accept work."""
        return tuple(sorted(member.agent_address for member in self.region_members()))

    def log_states(self) -> list[LogState]:
        """Return the log state of each linked entry that has sent a heartbeat."""
        linked = [link for link in self.links.values() if link.heartbeat is not None]
        return [self._log_state(link) for link in linked]

    def unlinked_members(self) -> list[Member]:
        """Return the entries of this region that have not left and are not linked."""
        members = filter(self.is_same_region, self.registry.members())
        return [member for member in members if member.entry_id not in self.links]

    def find_link(self, entry_id: str) -> PeerLink | None:
        """Return the link that leads to an entry, directly or through other entries."""
        link = self.links.get(entry_id)
        if link is not None:
            return link
        for domain in self.domains.values():
            if entry_id in domain.members:
                return self.links.get(domain.source)
        return None

    def merge_domains(self, grace_s: float = LEASE_S) -> None:
        """Merge the failure domains reported on all links, preferring streams over relayed reports.

        Parameters
        ----------
        grace_s
            Time after which a failure domain that no link reports is removed, in seconds.
        """
        merged: dict[FailureDomainId, RemoteDomain] = {}
        for link in self.links.values():
            for name, domain in link.domains.items():
                if name not in merged or (merged[name].relayed and not domain.relayed):
                    merged[name] = domain
        now_s = self.now_s()
        for name, domain in self.domains.items():
            if name in merged:
                continue
            if domain.expires_s is None:
                domain.expires_s = now_s + grace_s
            if domain.expires_s > now_s:
                merged[name] = domain
        self.domains = merged

    def _log_state(self, link: PeerLink) -> LogState:
        heartbeat_age_s = self.now_s() - link.heartbeat_received_s
        log_age_ms = link.heartbeat.log_age_ms
        return LogState(
            entry_id=link.member.entry_id,
            incarnation=link.member.incarnation,
            region=link.member.region,
            failure_domain=link.member.failure_domain,
            heartbeat_age_s=heartbeat_age_s,
            read_age_s=None if log_age_ms < 0 else log_age_ms / 1000 + heartbeat_age_s,
            highest_token=link.heartbeat.log_token,
        )

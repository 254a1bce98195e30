"""Entries that are alive, here and in other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.peers._carriers import DomainName
from briardeal.peers._link import LEASE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.peers._link import PeerLink
    from briardeal.peers._members import MemberBook
    from briardeal_protocol.peers import DomainLoad, Member, ServiceLoad


@attrs.frozen
class LogState:
    """What a peer has read of the log, as its last heartbeat told.

    Parameters
    ----------
    entry_id, incarnation, region, failure_domain
        The peer.
    heartbeat_age_s
        Seconds since its last heartbeat.
    read_age_s
        Seconds since the log last answered it; `None` for never.
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
        Name of the entry that tells of it.
    relayed
        Whether that entry is a neighbour, which has the stream to the failure domain.
    members
        Entries that are alive, by name.
    load
        Load of the failure domain without its services.
    services
        Load by service.
    heard_s
        When it was last told of, on the loop's clock.
    expires_s
        When it is forgotten unless another entry tells of it; `None` while the source does.
    """

    name: DomainName
    source: str
    relayed: bool
    members: dict[str, Member]
    load: DomainLoad
    services: dict[str, ServiceLoad]
    heard_s: float = 0.0
    expires_s: float | None = None


class PeerTable:
    """Links to other entries and what they tell.

    Parameters
    ----------
    book
        Members known, alive or not.
    now_s
        Clock of the loop.

    Attributes
    ----------
    links
        Links within the region and streams to other regions, by the name of the entry.
    domains
        Failure domains of other regions.
    leaving
        Whether this entry takes no new work.
    """

    def __init__(self, book: MemberBook, now_s: Callable[[], float]) -> None:
        self.book = book
        self.now_s = now_s
        self.myself = book.myself
        self.links: dict[str, PeerLink] = {}
        self.domains: dict[DomainName, RemoteDomain] = {}
        self.leaving = False

    def region_links(self) -> list[PeerLink]:
        """Return the links to entries of this region."""
        return [link for link in self.links.values() if self.is_near(link.member)]

    def streams(self) -> list[PeerLink]:
        """Return the links to entries of other regions."""
        return [link for link in self.links.values() if not self.is_near(link.member)]

    def is_near(self, member: Member) -> bool:
        """Return whether a member stands in this region."""
        return member.region == self.myself.region

    def region_members(self) -> list[Member]:
        """Return the entries of this region that take work, this one included, by name."""
        members = [link.member for link in self.region_links() if not link.leaving]
        if not self.leaving:
            members.append(self.myself)
        return sorted(members, key=lambda member: member.entry_id)

    def domain_members(self) -> list[Member]:
        """Return the entries of this failure domain that take work, this one included, by name."""
        own = DomainName.of(self.myself)
        return [member for member in self.region_members() if DomainName.of(member) == own]

    def remote_members(self) -> list[Member]:
        """Return the live entries of other regions."""
        return [member for domain in self.domains.values() for member in domain.members.values()]

    def live(self) -> frozenset[tuple[str, int]]:
        """Return name and incarnation of every entry that takes work, this one included."""
        members = [*self.region_members(), *self.remote_members()]
        return frozenset((member.entry_id, member.incarnation) for member in members)

    def agent_addresses(self) -> tuple[str, ...]:
        """Return the addresses for agents of all live entries of the region, sorted."""
        return tuple(sorted(member.agent_address for member in self.region_members()))

    def log_states(self) -> list[LogState]:
        """Return what each linked entry has read of the log."""
        linked = [link for link in self.links.values() if link.heartbeat is not None]
        return [self._log_state(link) for link in linked]

    def out_of_reach(self) -> list[Member]:
        """Return the entries of this region that have not left and are not linked."""
        members = filter(self.is_near, self.book.members())
        return [member for member in members if member.entry_id not in self.links]

    def route(self, entry_id: str) -> PeerLink | None:
        """Return the link by which an entry is reached, in one step or through others."""
        link = self.links.get(entry_id)
        if link is not None:
            return link
        for domain in self.domains.values():
            if entry_id in domain.members:
                return self.links.get(domain.source)
        return None

    def merge_domains(self, keep_s: float = LEASE_S) -> None:
        """Gather what the links tell of failure domains, a stream before a neighbour.

        Parameters
        ----------
        keep_s
            How long one that nobody tells of any more is kept, until another entry does.
        """
        merged: dict[DomainName, RemoteDomain] = {}
        for link in self.links.values():
            for name, domain in link.domains.items():
                if name not in merged or (merged[name].relayed and not domain.relayed):
                    merged[name] = domain
        now_s = self.now_s()
        for name, domain in self.domains.items():
            if name in merged:
                continue
            if domain.expires_s is None:
                domain.expires_s = now_s + keep_s
            if domain.expires_s > now_s:
                merged[name] = domain
        self.domains = merged

    def _log_state(self, link: PeerLink) -> LogState:
        heartbeat_age_s = self.now_s() - link.heartbeat_s
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

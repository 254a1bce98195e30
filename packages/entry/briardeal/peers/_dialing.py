"""Choice of the addresses to connect to."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal.peers._carriers import FailureDomainId, rank
from briardeal.peers._link import LEASE_S

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from briardeal.peers._table import PeerTable

RETRY_INTERVAL_S = 1.0
"""Time between attempts at one address; short, so that a healed cut is noticed in a lease."""


@attrs.define
class Dialer:
    """Keeps the list of addresses to connect to.

    Within a region, the entry with the lower name dials. Between two failure domains of different
    regions, the carrier of the lower one dials. The other side dials too when nothing has come of
    it for a lease: a restarted entry may know nobody who is alive.

    Parameters
    ----------
    table
        Links and members.
    seeds
        Peer addresses from the settings.
    rng
        Source of jitter.
    """

    table: PeerTable
    seeds: tuple[str, ...]
    rng: random.Random
    dialing: set[str] = attrs.field(factory=set)
    retry_s: dict[str, float] = attrs.field(factory=dict)
    failures: dict[FailureDomainId, int] = attrs.field(factory=lambda: defaultdict(int))
    missing_s: dict[str | FailureDomainId, float] = attrs.field(factory=dict)

    def due(self) -> list[str]:
        """Return the addresses to dial now."""
        now_s = self.table.now_s()
        wanted = set(self._wanted())
        self.retry_s = {a: at_s for a, at_s in self.retry_s.items() if at_s > now_s}
        return sorted(a for a in wanted if a not in self.dialing and a not in self.retry_s)

    def failed(self, address: str) -> None:
        """Wait before an address is dialed again, and try another of its failure domain."""
        jitter = self.rng.uniform(0.75, 1.25)
        self.retry_s[address] = self.table.now_s() + RETRY_INTERVAL_S * jitter
        for member in self.table.book.members():
            if member.peer_address == address:
                self.failures[FailureDomainId.of(member)] += 1

    def wants_stream(self, remote: FailureDomainId) -> bool:
        """Return whether this entry has to open the stream to a failure domain."""
        return self.carries(remote) and not self._has_stream(remote)

    def carries(self, remote: FailureDomainId) -> bool:
        """Return whether this entry opens and keeps the stream to a failure domain."""
        return FailureDomainId.of(self.table.myself) < remote and self._is_carrier(remote)

    def _wanted(self) -> Iterator[str]:
        myself = self.table.myself
        own = FailureDomainId.of(myself)
        missing = {member.entry_id: member.peer_address for member in self.table.out_of_reach()}
        streams = self._remote_addresses()
        streams = {name: them for name, them in streams.items() if not self._is_reached(name)}
        self._note_missing({*missing, *streams})
        for name, address in missing.items():
            if myself.entry_id < name or self._waited(name):
                yield address
        for remote, addresses in streams.items():
            if self._is_carrier(remote) and (own < remote or self._waited(remote)):
                names = rank(own, remote, addresses)
                yield addresses[names[self.failures[remote] % len(names)]]
        known = {member.peer_address for member in self.table.book.members()}
        yield from set(self.seeds) - known - {myself.peer_address}

    def _is_reached(self, remote: FailureDomainId) -> bool:
        """Return whether this side has nothing to do for the stream to a failure domain."""
        if FailureDomainId.of(self.table.myself) < remote:
            return self._has_stream(remote)
        return remote in self.table.domains

    def _has_stream(self, remote: FailureDomainId) -> bool:
        streams = self.table.streams()
        return any(link.domain == remote and not link.leaving for link in streams)

    def _is_carrier(self, remote: FailureDomainId) -> bool:
        names = [member.entry_id for member in self.table.domain_members()]
        own = FailureDomainId.of(self.table.myself)
        return rank(own, remote, names)[:1] == [self.table.myself.entry_id]

    def _note_missing(self, missing: set[str | FailureDomainId]) -> None:
        now_s = self.table.now_s()
        self.missing_s = {what: self.missing_s.get(what, now_s) for what in missing}

    def _waited(self, what: str | FailureDomainId) -> bool:
        return self.table.now_s() - self.missing_s[what] >= LEASE_S

    def _remote_addresses(self) -> dict[FailureDomainId, dict[str, str]]:
        leaving = {link.member.entry_id for link in self.table.links.values() if link.leaving}
        addresses: dict[FailureDomainId, dict[str, str]] = defaultdict(dict)
        for member in self.table.book.members():
            if not self.table.is_near(member) and member.entry_id not in leaving:
                addresses[FailureDomainId.of(member)][member.entry_id] = member.peer_address
        return addresses

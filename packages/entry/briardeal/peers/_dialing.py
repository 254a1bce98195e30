"""Selection of the peer addresses to connect to."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal.peers._bridges import FailureDomainId, rank_bridges
from briardeal.peers._link import LEASE_S

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from briardeal.peers._table import PeerTable

RETRY_INTERVAL_S = 1.0
"""Time between attempts at one address, in seconds.

It is short, so that links reopen within one lease after a network partition ends.
"""


@attrs.define
class Dialer:
    """Selects the addresses to connect to and delays repeated attempts.

    Within a region, the entry with the lower name dials. Between two failure domains of different
    regions, the bridge entry of the lower one dials. The other side dials too if the link is still
    missing after a lease, because a restarted entry may not know any live entry.

    Parameters
    ----------
    table
        Links to other entries and known members.
    seeds
        Peer addresses from the settings.
    rng
        Source of jitter.

    Attributes
    ----------
    dialing
        Addresses with an attempt in progress.
    retry_at_s
        Earliest time of the next attempt by address, on the event loop's clock.
    failures
        Failed attempts by failure domain.
    missing_since_s
        Since when a link is missing, by name of the entry or by failure domain.
    """

    table: PeerTable
    seeds: tuple[str, ...]
    rng: random.Random
    dialing: set[str] = attrs.field(factory=set)
    retry_at_s: dict[str, float] = attrs.field(factory=dict)
    failures: dict[FailureDomainId, int] = attrs.field(factory=lambda: defaultdict(int))
    missing_since_s: dict[str | FailureDomainId, float] = attrs.field(factory=dict)

    def due_addresses(self) -> list[str]:
        """Return the addresses to dial now."""
        now_s = self.table.now_s()
        wanted = set(self._wanted_addresses())
        self.retry_at_s = {a: at_s for a, at_s in self.retry_at_s.items() if at_s > now_s}
        return sorted(a for a in wanted if a not in self.dialing and a not in self.retry_at_s)

    def record_failure(self, address: str) -> None:
        """Delay the next attempt at an address and select another one of its failure domain."""
        jitter = self.rng.uniform(0.75, 1.25)
        self.retry_at_s[address] = self.table.now_s() + RETRY_INTERVAL_S * jitter
        for member in self.table.registry.members():
            if member.peer_address == address:
                self.failures[FailureDomainId.of(member)] += 1

    def should_open_stream(self, remote: FailureDomainId) -> bool:
        """Return whether this entry must open a stream to a failure domain now."""
        return self.maintains_stream(remote) and not self._has_stream(remote)

    def maintains_stream(self, remote: FailureDomainId) -> bool:
        """Return whether this entry opens and maintains the stream to a failure domain."""
        return FailureDomainId.of(self.table.local_member) < remote and self._is_bridge(remote)

    def _wanted_addresses(self) -> Iterator[str]:
        local_member = self.table.local_member
        own = FailureDomainId.of(local_member)
        missing = {member.entry_id: member.peer_address for member in self.table.unlinked_members()}
        streams = self._remote_addresses()
        streams = {
            name: by_entry
            for name, by_entry in streams.items()
            if not self._has_required_stream(name)
        }
        self._update_missing({*missing, *streams})
        for name, address in missing.items():
            if local_member.entry_id < name or self._missing_for_lease(name):
                yield address
        for remote, addresses in streams.items():
            if self._is_bridge(remote) and (own < remote or self._missing_for_lease(remote)):
                names = rank_bridges(own, remote, addresses)
                yield addresses[names[self.failures[remote] % len(names)]]
        known = {member.peer_address for member in self.table.registry.members()}
        yield from set(self.seeds) - known - {local_member.peer_address}

    def _has_required_stream(self, remote: FailureDomainId) -> bool:
        """Return whether the stream to a failure domain needs no action of this side."""
        if FailureDomainId.of(self.table.local_member) < remote:
            return self._has_stream(remote)
        return remote in self.table.domains

    def _has_stream(self, remote: FailureDomainId) -> bool:
        streams = self.table.streams()
        return any(link.domain == remote and not link.leaving for link in streams)

    def _is_bridge(self, remote: FailureDomainId) -> bool:
        names = [member.entry_id for member in self.table.domain_members()]
        own = FailureDomainId.of(self.table.local_member)
        return rank_bridges(own, remote, names)[:1] == [self.table.local_member.entry_id]

    def _update_missing(self, missing: set[str | FailureDomainId]) -> None:
        now_s = self.table.now_s()
        self.missing_since_s = {
            target: self.missing_since_s.get(target, now_s) for target in missing
        }

    def _missing_for_lease(self, target: str | FailureDomainId) -> bool:
        return self.table.now_s() - self.missing_since_s[target] >= LEASE_S

    def _remote_addresses(self) -> dict[FailureDomainId, dict[str, str]]:
        leaving = {link.member.entry_id for link in self.table.links.values() if link.leaving}
        addresses: dict[FailureDomainId, dict[str, str]] = defaultdict(dict)
        for member in self.table.registry.members():
            if not self.table.is_same_region(member) and member.entry_id not in leaving:
                addresses[FailureDomainId.of(member)][member.entry_id] = member.peer_address
        return addresses

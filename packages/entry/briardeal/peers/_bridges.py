"""Selection of the bridge entries, which hold the streams between failure domains.

Rendezvous hashing gives the same result on every entry without coordination.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_protocol.peers import Member


@attrs.frozen(order=True)
class FailureDomainId:
    """A failure domain and its region."""

    region: str
    failure_domain: str

    @classmethod
    def of(cls, member: Member) -> FailureDomainId:
        """Return the failure domain of an entry."""
        return cls(member.region, member.failure_domain)


def rank_bridges(
    left: FailureDomainId, right: FailureDomainId, members: Iterable[str]
) -> list[str]:
    """Return the members in order of preference as bridge between two failure domains."""
    low, high = sorted((left, right))
    pair = "|".join((*attrs.astuple(low), *attrs.astuple(high)))
    return sorted(members, key=lambda name: (_hash(pair, name), name))


def choose_reporting_domain(failure_domain: str, with_entries: Iterable[str]) -> str:
    """Return the failure domain whose entries report the load of a given one.

    A failure domain without entries is reported by another one of its region.
    """
    candidates = sorted(with_entries)
    if failure_domain in candidates:
        return failure_domain
    return max(candidates, key=lambda name: _hash(failure_domain, name))


def _hash(left: str, right: str) -> int:
    return xxhash.xxh64_intdigest(f"{left}|{right}".encode())

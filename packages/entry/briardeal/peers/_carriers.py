"""Choice of the entries that carry the stream between two failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_protocol.peers import Member


@attrs.frozen(order=True)
class FailureDomainId:
    """A failure domain of a region."""

    region: str
    failure_domain: str

    @classmethod
    def of(cls, member: Member) -> FailureDomainId:
        """Return the failure domain of a member."""
        return cls(member.region, member.failure_domain)


def rank(left: FailureDomainId, right: FailureDomainId, members: Iterable[str]) -> list[str]:
    """Return members in the order in which they carry the stream between two failure domains."""
    low, high = sorted((left, right))
    pair = "|".join((*attrs.astuple(low), *attrs.astuple(high)))
    return sorted(members, key=lambda name: (_hash(pair, name), name))


def covering(failure_domain: str, with_entries: Iterable[str]) -> str:
    """Return the failure domain whose entries tell of the agents of one.

    A failure domain without an entry of its own is told of by another one of its region.
    """
    candidates = sorted(with_entries)
    if failure_domain in candidates:
        return failure_domain
    return max(candidates, key=lambda name: _hash(failure_domain, name))


def _hash(left: str, right: str) -> int:
    return xxhash.xxh64_intdigest(f"{left}|{right}".encode())

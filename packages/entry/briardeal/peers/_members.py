"""Registry of the known members, alive or not, merged with the registries of other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from briardeal_protocol.peers import Member, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable

REMOVE_AFTER_S = 2 * 3600.0
"""Time after which an unreachable member is removed, in seconds.

Until then its address is retried, so it must exceed the longest network partition of a region.
"""


@attrs.define
class KnownMember:
    """Latest known incarnation of an entry.

    Parameters
    ----------
    member
        The member.
    last_alive_s
        When it was last known to be alive, on the loop's clock.
    left
        Whether this incarnation has left or was replaced.
    """

    member: Member
    last_alive_s: float
    left: bool = False


class MemberRegistry:
    """Known members by name, merged from the reports of all entries.

    Parameters
    ----------
    local_member
        This entry.
    now_s
        Clock of the event loop.
    """

    def __init__(self, local_member: Member, now_s: Callable[[], float]) -> None:
        self.local_member = local_member
        self.now_s = now_s
        self.known: dict[str, KnownMember] = {}
        self._digest: int | None = None

    def record_alive(self, member: Member) -> None:
        """Record that a member is alive now."""
        self._update(member, self.now_s(), left=False)

    def merge(self, statuses: tuple[MemberStatus, ...]) -> None:
        """Merge the member statuses reported by another entry."""
        for status in statuses:
            if status.age_s < REMOVE_AFTER_S:
                self._update(status.member, self.now_s() - status.age_s, status.left)

    def mark_left(self, member: Member) -> None:
        """Record that this incarnation of a member has left."""
        self._update(member, self.now_s(), left=True)

    def remove_expired(self) -> None:
        """Remove the members that were last alive more than `REMOVE_AFTER_S` ago."""
        oldest_s = self.now_s() - REMOVE_AFTER_S
        for name in [name for name, known in self.known.items() if known.last_alive_s <= oldest_s]:
            del self.known[name]
            self._digest = None

    def statuses(self) -> tuple[MemberStatus, ...]:
        """Return the status of all known members, this entry included."""
        now_s = self.now_s()
        others = (
            MemberStatus(known.member, int(now_s - known.last_alive_s), known.left)
            for known in self.known.values()
        )
        return (MemberStatus(self.local_member), *others)

    def digest(self) -> int:
        """Return a hash of the known members, equal on entries that know the same members."""
        if self._digest is None:
            states = [(known.member, known.left) for known in self.known.values()]
            states.append((self.local_member, False))
            states.sort(key=lambda state: state[0].entry_id)
            self._digest = xxhash.xxh32_intdigest(msgspec.msgpack.encode(states))
        return self._digest

    def members(self) -> list[Member]:
        """Return the other members that have not left, reachable or not."""
        return [known.member for known in self.known.values() if not known.left]

    def find(self, entry_id: str) -> Member | None:
        """Return the member with a name, unless it has left or is unknown."""
        known = self.known.get(entry_id)
        return None if known is None or known.left else known.member

    def _update(self, member: Member, last_alive_s: float, left: bool) -> None:
        if member.entry_id == self.local_member.entry_id:
            return
        known = self.known.get(member.entry_id)
        if known is None or known.member.incarnation < member.incarnation:
            self.known[member.entry_id] = KnownMember(member, last_alive_s, left)
            self._digest = None
            self._mark_replaced(member)
        elif known.member.incarnation == member.incarnation:
            known.last_alive_s = max(known.last_alive_s, last_alive_s)
            if left and not known.left:
                known.left = True
                self._digest = None

    def _mark_replaced(self, member: Member) -> None:
        """Mark all but the newest member at the address of a member as left."""
        same_address = [
            known
            for known in self.known.values()
            if known.member.peer_address == member.peer_address
        ]
        newest = max(
            [
                self.local_member.incarnation
                * (member.peer_address == self.local_member.peer_address)
            ]
            + [known.member.incarnation for known in same_address]
        )
        for known in same_address:
            known.left = known.left or known.member.incarnation < newest

"""Members known to an entry, alive or not, with what others tell of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
import xxhash

from briardeal_protocol.peers import Member, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable

FORGET_AFTER_S = 2 * 3600.0
"""How long a member that is out of reach is tried again; longer than a region is cut off."""


@attrs.define
class KnownMember:
    """One incarnation of an entry.

    Parameters
    ----------
    member
        The member.
    seen_s
        When it was last known to be alive, on the loop's clock.
    left
        Whether it has left or was replaced.
    """

    member: Member
    seen_s: float
    left: bool = False


class MemberBook:
    """Members by name, merged from what all entries tell.

    Parameters
    ----------
    myself
        This entry.
    now_s
        Clock of the loop.
    """

    def __init__(self, myself: Member, now_s: Callable[[], float]) -> None:
        self.myself = myself
        self.now_s = now_s
        self.known: dict[str, KnownMember] = {}
        self._digest: int | None = None

    def saw(self, member: Member) -> None:
        """Take note that a member is alive."""
        self._learn(member, self.now_s(), left=False)

    def learn(self, news: tuple[MemberStatus, ...]) -> None:
        """Take what another entry knows."""
        for item in news:
            if item.age_s < FORGET_AFTER_S:
                self._learn(item.member, self.now_s() - item.age_s, item.left)

    def mark_left(self, member: Member) -> None:
        """Take note that this incarnation has left."""
        self._learn(member, self.now_s(), left=True)

    def forget(self) -> None:
        """Forget the members that nobody has seen for long."""
        oldest_s = self.now_s() - FORGET_AFTER_S
        for name in [name for name, known in self.known.items() if known.seen_s <= oldest_s]:
            del self.known[name]
            self._digest = None

    def news(self) -> tuple[MemberStatus, ...]:
        """Return all that is known, this entry included."""
        now_s = self.now_s()
        others = (
            MemberStatus(known.member, int(now_s - known.seen_s), known.left)
            for known in self.known.values()
        )
        return (MemberStatus(self.myself), *others)

    def digest(self) -> int:
        """Return a hash that is the same for all who know the same."""
        if self._digest is None:
            facts = [(known.member, known.left) for known in self.known.values()]
            facts.append((self.myself, False))
            facts.sort(key=lambda fact: fact[0].entry_id)
            self._digest = xxhash.xxh32_intdigest(msgspec.msgpack.encode(facts))
        return self._digest

    def members(self) -> list[Member]:
        """Return the other members that have not left, in reach or not."""
        return [known.member for known in self.known.values() if not known.left]

    def find(self, entry_id: str) -> Member | None:
        """Return the member of a name, unless it has left."""
        known = self.known.get(entry_id)
        return None if known is None or known.left else known.member

    def _learn(self, member: Member, seen_s: float, left: bool) -> None:
        if member.entry_id == self.myself.entry_id:
            return
        known = self.known.get(member.entry_id)
        if known is None or known.member.incarnation < member.incarnation:
            self.known[member.entry_id] = KnownMember(member, seen_s, left)
            self._digest = None
            self._replace_at(member)
        elif known.member.incarnation == member.incarnation:
            known.seen_s = max(known.seen_s, seen_s)
            if left and not known.left:
                known.left = True
                self._digest = None

    def _replace_at(self, member: Member) -> None:
        """Mark the older of two members at one address as left."""
        sharing = [
            known
            for known in self.known.values()
            if known.member.peer_address == member.peer_address
        ]
        newest = max(
            [self.myself.incarnation * (member.peer_address == self.myself.peer_address)]
            + [known.member.incarnation for known in sharing]
        )
        for known in sharing:
            known.left = known.left or known.member.incarnation < newest

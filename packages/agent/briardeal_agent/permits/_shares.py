"""Guaranteed shares of the slots, lent while their customers leave them unused."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

ACTIVE_S = 10.0
"""How long a customer counts as active after it last asked for a slot."""

HASH_RANGE = 2**32


@attrs.define
class Use:
    """What one customer uses and lately wanted.

    Parameters
    ----------
    share
        Guaranteed share of the slots, as last told.
    in_use
        Slots that it holds.
    wanted
        Most slots that it wanted at once while active.
    wanted_s
        When it wanted as many, on the loop's clock.
    asked_s
        When it last asked for a slot, on the loop's clock.
    """

    share: float = 0.0
    in_use: int = 0
    wanted: int = 0
    wanted_s: float = 0.0
    asked_s: float = 0.0


class SlotShares:
    """The customers of one endpoint and the slots that are kept for each.

    An active customer keeps one slot more than it lately wanted at once, up to its guarantee. The
    rest is lent. The share comes with each call, so that an agent needs no configuration.

    Parameters
    ----------
    name
        Name of the agent; spreads the rounding of shares over the agents.
    now_s
        Clock of the loop.
    """

    def __init__(self, name: str, now_s: Callable[[], float]) -> None:
        self.name = name
        self.now_s = now_s
        self.uses: dict[str, Use] = {}

    def ask(self, customer: str, share: float) -> None:
        """Note that a customer asks for a slot."""
        now_s = self.now_s()
        use = self.uses.setdefault(customer, Use())
        use.share = share
        use.asked_s = now_s
        wanted = use.in_use + 1
        if wanted >= use.wanted or use.wanted_s + ACTIVE_S <= now_s:
            use.wanted = wanted
            use.wanted_s = now_s

    def may_take(self, customer: str, slots: int, in_use: int) -> bool:
        """Return whether a customer may take a slot when `in_use` of `slots` are held."""
        if in_use >= slots:
            return False
        if self.uses[customer].in_use < self._guaranteed(customer, slots):
            return True
        kept = sum(self._kept(other, slots) for other in self.uses if other != customer)
        return in_use + kept < slots

    def take(self, customer: str) -> None:
        """Count a slot that a customer holds from now on."""
        self.uses.setdefault(customer, Use()).in_use += 1

    def give_back(self, customer: str) -> None:
        """Count a slot that a customer no longer holds."""
        self.uses[customer].in_use -= 1

    def forget_idle(self) -> None:
        """Forget customers that hold nothing and are not active."""
        oldest_s = self.now_s() - ACTIVE_S
        idle = [c for c, use in self.uses.items() if not use.in_use and use.asked_s <= oldest_s]
        for customer in idle:
            del self.uses[customer]

    def _kept(self, customer: str, slots: int) -> int:
        use = self.uses[customer]
        if use.asked_s + ACTIVE_S <= self.now_s():
            return 0
        return max(0, min(self._guaranteed(customer, slots), use.wanted + 1) - use.in_use)

    def _guaranteed(self, customer: str, slots: int) -> int:
        # SlotShares that are no whole number of slots are rounded up on some agents and down on
        # others, so that they come out right over the service.
        offset = zlib.crc32(f"{self.name}/{customer}".encode()) / HASH_RANGE
        return int(self.uses[customer].share * slots + offset)

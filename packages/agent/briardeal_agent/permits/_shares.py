"""Guaranteed shares of the slots, lent to others while their customers leave them unused."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

ACTIVE_TIME_S = 10.0
"""Time for which a customer counts as active after its last request for a slot, in seconds."""

HASH_RANGE = 2**32


@attrs.define
class CustomerUsage:
    """Slots that one customer holds and its recent demand.

    Parameters
    ----------
    share
        Guaranteed share of the slots, as sent with the last request.
    in_use
        Number of slots held.
    demand
        Peak number of slots wanted at the same time while active.
    demand_measured_s
        Time of that peak, on the loop's clock.
    requested_s
        Time of the last request for a slot, on the loop's clock.
    """

    share: float = 0.0
    in_use: int = 0
    demand: int = 0
    demand_measured_s: float = 0.0
    requested_s: float = 0.0


class SlotShares:
    """Guaranteed and borrowed slots of the customers of one endpoint.

    An active customer has one slot more reserved than its recent peak demand, up to its guarantee.
    The rest is lent to others. Each call carries the share, so that an agent needs no
    configuration.

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
        self.usage_by_customer: dict[str, CustomerUsage] = {}

    def record_request(self, customer: str, share: float) -> None:
        """Record that a customer requests a slot."""
        now_s = self.now_s()
        usage = self.usage_by_customer.setdefault(customer, CustomerUsage())
        usage.share = share
        usage.requested_s = now_s
        demand = usage.in_use + 1
        if demand >= usage.demand or usage.demand_measured_s + ACTIVE_TIME_S <= now_s:
            usage.demand = demand
            usage.demand_measured_s = now_s

    def can_acquire(self, customer: str, slots: int, in_use: int) -> bool:
        """Return whether a customer may acquire a slot while `in_use` of `slots` are held."""
        if in_use >= slots:
            return False
        if self.usage_by_customer[customer].in_use < self._guaranteed_slots(customer, slots):
            return True
        reserved = sum(
            self._reserved_slots(other, slots)
            for other in self.usage_by_customer
            if other != customer
        )
        return in_use + reserved < slots

    def acquire(self, customer: str) -> None:
        """Count a slot acquired by a customer."""
        self.usage_by_customer.setdefault(customer, CustomerUsage()).in_use += 1

    def release(self, customer: str) -> None:
        """Count a slot released by a customer."""
        self.usage_by_customer[customer].in_use -= 1

    def remove_idle(self) -> None:
        """Remove customers that hold no slot and are not active."""
        oldest_s = self.now_s() - ACTIVE_TIME_S
        idle = [
            customer
            for customer, usage in self.usage_by_customer.items()
            if not usage.in_use and usage.requested_s <= oldest_s
        ]
        for customer in idle:
            del self.usage_by_customer[customer]

    def _reserved_slots(self, customer: str, slots: int) -> int:
        usage = self.usage_by_customer[customer]
        if usage.requested_s + ACTIVE_TIME_S <= self.now_s():
            return 0
        return max(0, min(self._guaranteed_slots(customer, slots), usage.demand + 1) - usage.in_use)

    def _guaranteed_slots(self, customer: str, slots: int) -> int:
        # Shares that are not an integer number of slots are rounded up on some agents and down on
        # others, so that their average over the service equals the share.
        offset = zlib.crc32(f"{self.name}/{customer}".encode()) / HASH_RANGE
        return int(self.usage_by_customer[customer].share * slots + offset)

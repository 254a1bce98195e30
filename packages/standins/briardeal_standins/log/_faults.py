"""Faults that a test or an operator of the demo can order."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """Faults in force between one client and the log.

    Parameters
    ----------
    outage
        Whether every call fails without effect.
    delay_s
        Time added to every call, in seconds.
    lost_acknowledgements
        How many of the next appends take effect but are not answered.
    late_writes
        How many of the next appends are not answered and take effect only later.
    late_write_s
        How much later, in seconds.
    double_writes
        How many of the next appends are written twice.
    double_deliveries
        How many of the next reads deliver each entry twice.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_acknowledgements: int = 0
    late_writes: int = 0
    late_write_s: float = 5.0
    double_writes: int = 0
    double_deliveries: int = 0

    def use_one(self, name: str) -> bool:
        """Return whether a counted fault strikes now, and count it off."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0

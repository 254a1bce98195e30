"""Faults of the log that tests and operators can select."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """Faults between one client and the log.

    Parameters
    ----------
    outage
        Whether every call fails without effect.
    delay_s
        Delay of every call, in seconds.
    lost_acknowledgements
        Number of the next appends that take effect but are not answered.
    late_writes
        Number of the next appends that are not answered and take effect after `late_write_s`.
    late_write_s
        Delay of late writes, in seconds.
    double_writes
        Number of the next appends that are written twice.
    double_deliveries
        Number of the next reads that deliver each entry twice.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_acknowledgements: int = 0
    late_writes: int = 0
    late_write_s: float = 5.0
    double_writes: int = 0
    double_deliveries: int = 0

    def consume(self, name: str) -> bool:
        """Return whether a counted fault affects this call, and decrement its count."""
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0

"""Memory of an agent for the pace of its VM, which the owner has estimated."""

from __future__ import annotations

import math

from briardeal_core.clock import boottime_s

MEMORY_S = 15.0
"""Time after the newest acknowledgement for which the pace is repeated; by then the owner itself
would count the estimate half."""

USUAL_PERCENT = 100


class PaceMemory:
    """Repeats the newest pace that an owner has acknowledged, for an owner that takes over.

    Attributes
    ----------
    percent
        Pace of the VM in percent of the usual one; 0 if none is known.
    received_s
        When it was received, on the clock of `boottime_s`.
    """

    def __init__(self) -> None:
        self.percent = 0
        self.received_s = -math.inf

    def record(self, percent: int) -> None:
        """Record the pace in an acknowledgement of the owner."""
        self.percent = percent
        self.received_s = boottime_s()

    def follow_incarnation(self) -> None:
        """Lower the weight of the pace because the worker has restarted, by a half-life."""
        self.percent = round(math.sqrt(self.percent * USUAL_PERCENT))

    def current(self) -> int:
        """Return the pace to report; 0 if none is known or no owner has answered for long."""
        return self.percent if boottime_s() - self.received_s <= MEMORY_S else 0

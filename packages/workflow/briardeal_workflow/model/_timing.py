"""Times that the platform promises, by which the owner decides."""

from __future__ import annotations

import attrs

RESTORE_S = 0.3
"""Time for the orders of a restart and for restoring a checkpoint."""


@attrs.frozen
class PlannerTiming:
    """Times that the platform promises for its workers, in seconds.

    Parameters
    ----------
    stop_s
        Time within which a worker stops a task.
    notice_s
        Time for which a VM remains at least after the announcement that it leaves.
    evacuation_s
        Time after an operator's request from which no task may start in an evacuated failure
        domain; `None` if the platform gives no such bound.
    """

    stop_s: float = 0.4
    notice_s: float = 4.5
    evacuation_s: float | None = None

    @property
    def restart_s(self) -> float:
        """Time lost by a restart from a checkpoint: the stop, the orders, and restoring."""
        return self.stop_s + RESTORE_S

"""A wall clock that tests can pause and advance together with the event loop."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from briardeal_core.clock._loop import loop_time
from briardeal_core.clock._suspension import suspended_s
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_LIMIT_S = 30.0
"""Time after which a changed time of day of the machine is adopted; steps that are taken back last
for seconds."""

STEP_TOLERANCE_S = 0.25
"""Difference from the time of day of the machine that is not corrected."""


class Clock(Protocol):
    """A source of wall time."""

    def now_s(self) -> float:
        """Return the wall time, in seconds since the epoch."""


class WallClock:
    """Wall time computed from the clock of the running loop.

    It counts suspensions of the machine, and ignores steps of the machine's time of day that are
    taken back soon. A process that started during such a step adopts the right time later.

    Parameters
    ----------
    epoch_s
        Wall time at zero of the loop's clock, in seconds since the epoch; by default taken from
        the clock of the machine.
    read_machine_s
        Returns the time of day of the machine, in seconds since the epoch; not used if `epoch_s`
        is given.
    """

    def __init__(
        self, epoch_s: float | None = None, read_machine_s: Callable[[], float] = time.time
    ) -> None:
        self.read_machine_s = read_machine_s if epoch_s is None else None
        self.epoch_s = read_machine_s() - loop_time() if epoch_s is None else epoch_s
        self.suspended_at_start_s = suspended_s()
        self._step_s = 0.0
        self._step_since_s = 0.0

    def now_s(self) -> float:
        """Return the wall time, in seconds since the epoch."""
        if self.read_machine_s is not None:
            self._adopt_lasting_step(self.read_machine_s())
        return self._elapsed_s() + self.epoch_s

    def _adopt_lasting_step(self, machine_s: float) -> None:
        elapsed_s = self._elapsed_s()
        step_s = machine_s - self.epoch_s - elapsed_s
        if abs(step_s - self._step_s) > STEP_TOLERANCE_S:
            self._step_s, self._step_since_s = step_s, elapsed_s
        if abs(step_s) > STEP_TOLERANCE_S and elapsed_s - self._step_since_s > STEP_LIMIT_S:
            log_event(Event.CLOCK_CORRECTED, by_s=round(step_s, 3))
            self.epoch_s += step_s
            self._step_s = 0.0

    def _elapsed_s(self) -> float:
        """Return the time on the loop's clock plus all suspensions since the start, in seconds."""
        return loop_time() + suspended_s() - self.suspended_at_start_s

"""Tasks that end by themselves before a stop would free their capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._remaining import estimate_remaining

if TYPE_CHECKING:
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._pace import PaceReader


OBSERVED_S = 1.0
"""Shortest observation of a pace that is trusted: one interval of task lists."""


class AwaitedEnds:
    """Decides which attempts an urgent group waits for instead of stopping them.

    Answers bursts of urgent jobs on full VMs: a task close to its end would lose its whole run, and
    its stop takes as long as its end. Only what ends by then even at the slowest pace that has been
    observed is waited for, as the stop follows if the end does not come: the group then starts
    after twice the time of a stop, or after its usual delay and a stop.

    Parameters
    ----------
    paces
        Returns in how many seconds attempts end.
    ready_s
        When the waiting group became ready.
    delay_s
        Usual longest time that urgent tasks wait before they may preempt others, in seconds.

    Attributes
    ----------
    until_s
        Until when the group waits for such ends at the latest, on the event loop's clock.
    """

    def __init__(self, paces: PaceReader, ready_s: float, delay_s: float) -> None:
        stop_s = paces.state.timing.stop_s
        self.until_s = ready_s + max(delay_s, stop_s)
        self.within_s = min(stop_s, self.until_s - paces.now_s)
        self.paces = paces

    def __call__(self, attempt: Attempt) -> bool:
        """Return whether an attempt ends by itself in time; for a gang, its slowest member."""
        if self.within_s <= 0 or self.paces(attempt) > self.within_s:
            return False
        members = self.paces.state.stopped_together(attempt)
        return all(map(self._ends_surely, members))

    def _ends_surely(self, attempt: Attempt) -> bool:
        if attempt.observed_run_s() < OBSERVED_S:
            return False
        group = self.paces.state.group_of(attempt.task)
        remaining = estimate_remaining(attempt, group.step.estimate_s, self.paces.now_s)
        return remaining.latest_s <= self.within_s

"""Expected ends of running attempts, by the pace observed so far."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import DONE_PERCENT, AttemptPhase
from briardeal_workflow.planning._pace_observer import comparable_step, usual_rate

if TYPE_CHECKING:
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState


class PaceReader:
    """Returns in how many seconds attempts end; each gang is looked at once.

    Parameters
    ----------
    state
        Planner state with the attempts.
    now_s
        Current time, on the event loop's clock.
    """

    def __init__(self, state: PlannerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self._by_attempt: dict[int, float] = {}

    def __call__(self, attempt: Attempt) -> float:
        """Return in how many seconds an attempt ends, for a gang the slowest of its members.

        Returns infinity if no progress has been observed, of it or of others of its step.
        """
        if attempt.phase is AttemptPhase.STOPPING:
            return self.state.timing.stop_s
        known_s = self._by_attempt.get(id(attempt))
        if known_s is not None:
            return known_s
        if self.state.group_of(attempt.task) is None:
            return self.state.timing.stop_s
        members = self.state.stopped_together(attempt)
        remaining_s = max(self._remaining_s(member) for member in members)
        self._by_attempt.update((id(member), remaining_s) for member in members)
        return remaining_s

    def declared_remaining_s(self, attempt: Attempt) -> float:
        """Return in how many seconds an attempt ends by its declared run time.

        The pace of its VM counts; for a gang, that of the slowest VM.
        """
        group = self.state.group_of(attempt.task)
        members = self.state.stopped_together(attempt)
        paces = self.state.paces
        pace = min(paces.relative_pace(member.vm_id, self.now_s) for member in members)
        return max(
            self.state.timing.stop_s, attempt.ordered_s + group.step.estimate_s / pace - self.now_s
        )

    def _remaining_s(self, attempt: Attempt) -> float:
        """Return in how many seconds an attempt ends by its own pace, or else by that of its VM."""
        remaining_s = attempt.remaining_by_pace_s(self.now_s)
        vm = self.state.vms.get(attempt.vm_id)
        if math.isfinite(remaining_s) or vm is None or attempt.first_listed_s is None:
            return remaining_s
        key = comparable_step(self.state, vm, attempt)
        rate = None if key is None else usual_rate(self.state, key, vm.vm_id)
        if rate is None:
            return math.inf
        rate *= self.state.paces.relative_pace(vm.vm_id, self.now_s)
        listed_ago_s = self.now_s - attempt.last_progress_s
        return max(0.0, (DONE_PERCENT - attempt.percent) / rate - listed_ago_s)

"""Remaining run times of attempts, with the range in which they are known."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import DONE_PERCENT

if TYPE_CHECKING:
    from briardeal_workflow.planning._attempts import Attempt

PACE_ERROR = 0.1
"""Relative error of a pace that has been observed for long."""

LIST_TIME_ERROR_S = 0.5
"""Error of the time over which a pace was observed: task lists are up to 0.8 s old."""

ESTIMATE_FACTOR = 3.0
"""Factor by which declared run times are off in either direction."""

END_SHOWN_S = 0.8
"""Time in which the agent lists an end; a result that it has not listed leaves with the VM."""


@attrs.frozen
class Remaining:
    """Remaining run time, in seconds: the earliest, expected and latest."""

    earliest_s: float
    expected_s: float
    latest_s: float

    def chance_within(self, left_s: float) -> float:
        """Return the chance that the run ends within a time, and its result is fetched."""
        latest_s = self.latest_s + END_SHOWN_S
        if left_s >= latest_s:
            return 1.0
        return max(0.0, (left_s - self.earliest_s) / (latest_s - self.earliest_s))


def estimate_remaining(attempt: Attempt, estimate_s: float, now_s: float) -> Remaining:
    """Return the remaining run time of an attempt.

    It is taken from the observed pace; before one is known, from the percentage reached since the
    start; and before that, from the declared run time.
    """
    expected_s = attempt.remaining_by_pace_s(now_s)
    if math.isfinite(expected_s):
        gained_percent = attempt.percent - attempt.first_percent
        error = PACE_ERROR + 1.0 / gained_percent + LIST_TIME_ERROR_S / attempt.observed_run_s()
        return _with_error(expected_s, error)
    ran_s = max(0.0, now_s - attempt.ordered_s)
    if attempt.percent > 0 and not attempt.checkpoint and attempt.first_listed_s is not None:
        pace_run_s = max(0.0, attempt.last_progress_s - attempt.ordered_s)
        whole_s = pace_run_s * DONE_PERCENT / attempt.percent
        error = PACE_ERROR + 1.0 / attempt.percent + LIST_TIME_ERROR_S / max(0.1, pace_run_s)
        return _with_error(max(0.0, whole_s - ran_s), error)
    return Remaining(
        max(0.0, estimate_s / ESTIMATE_FACTOR - ran_s),
        max(0.0, estimate_s - ran_s),
        max(0.0, estimate_s * ESTIMATE_FACTOR - ran_s),
    )


def _with_error(expected_s: float, error: float) -> Remaining:
    return Remaining(max(0.0, expected_s * (1.0 - error)), expected_s, expected_s * (1.0 + error))

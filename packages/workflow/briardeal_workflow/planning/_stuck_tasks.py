"""Signs that a start makes no progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import AttemptPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.planning._active_jobs import Group
    from briardeal_workflow.planning._attempts import Attempt

STALL_LIMIT_S = 5.0
"""Least time without any progress after which a start is given up, however slow it may be."""

STALL_SHARE = 0.2
"""The same as a part of the declared run time: a step of one percent may take that long where the
work is twenty times as slow as declared."""

PAUSE_LIMIT_S = 2.4
"""Least time without progress after which one that was steady before is given up; VMs tell the
percentage each second."""

PAUSE_PERCENT = 6
"""Percentage that a steady task would have gained in a pause that shows that it is stuck."""

DONE_PERCENT = 100
"""Percentage that a task tells whose own part is done."""


def is_stuck(attempt: Attempt, group: Group, now_s: float, slack_s: Callable[[], float]) -> bool:
    """Return whether a start stands still, by what it did before.

    Most pauses end by themselves. Waiting for as long as a new start would take to come as far
    costs at most twice what is best in hindsight; it ends where a new start would be late.

    Parameters
    ----------
    attempt, group
        The start and its group.
    now_s
        Time up to which its VM was heard, on the loop's clock.
    slack_s
        Returns for how long a new start may still wait, in seconds.
    """
    silent_s = now_s - attempt.last_progress_s
    if silent_s <= PAUSE_LIMIT_S:
        return False
    if attempt.phase is not AttemptPhase.RUNNING or group.step.lasting:
        return False
    left_percent = DONE_PERCENT - attempt.percent
    if group.step.gang and left_percent <= 0:
        # Its own part is done; it ends together with the slowest member.
        return False
    patience_s = min(attempt.catch_up_s(), slack_s())
    if silent_s > max(STALL_LIMIT_S, STALL_SHARE * group.step.estimate_s, patience_s):
        return True
    observed_run_s = attempt.observed_run_s()
    if silent_s <= patience_s or observed_run_s <= 0:
        return False
    rate = (attempt.percent - attempt.first_percent) / observed_run_s
    return min(rate * silent_s, left_percent) >= PAUSE_PERCENT

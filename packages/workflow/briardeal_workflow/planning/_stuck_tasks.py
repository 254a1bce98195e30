"""Detection of attempts that make no progress."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from briardeal_workflow.planning._attempts import DONE_PERCENT, AttemptPhase
from briardeal_workflow.planning._losses import LossCause, broken_by
from briardeal_workflow.planning._vms import LIST_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._completions import CompletionHandler
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup

STALL_LIMIT_S = 5.0
"""Minimum time without progress after which an attempt is stopped, even if it was slow before."""

STALL_SHARE = 0.2
"""Minimum time without progress as a fraction of the declared run time: one percent takes that long
if the task is twenty times as slow as declared."""

PAUSE_LIMIT_S = 2.4
"""Minimum time without progress after which an attempt that progressed steadily before is stopped;
VMs report the percentage every second."""

PAUSE_PERCENT = 6
"""Percentage that a steady task would have gained during a pause that is long enough to show that
it is stuck."""


def stop_stuck_tasks(
    state: PlannerState, completions: CompletionHandler, now_s: float, wall_s: float
) -> None:
    """Stop the attempts that are stuck, gangs as a whole, and record failures of their VMs."""
    for vm in state.vms.values():
        known_s = min(now_s, vm.listed_s + LIST_INTERVAL_S)
        for attempt in list(vm.attempts.values()):
            active_job = state.job_of(attempt.task)
            if active_job is None:
                continue
            group = active_job.groups[attempt.task.group]
            if is_stuck(attempt, group, known_s, partial(active_job.slack_s, group, wall_s)):
                completions.record_failure(vm, now_s)
                for each in state.stopped_together(attempt):
                    silent_s = round(known_s - each.last_progress_s, 3)
                    failed = LossCause.FAILED
                    state.stop(
                        each,
                        "no progress",
                        loss_cause=failed if each is attempt else broken_by(failed),
                        percent=each.percent,
                        silent_s=silent_s,
                    )


def is_stuck(
    attempt: Attempt, group: TaskGroup, now_s: float, slack_s: Callable[[], float]
) -> bool:
    """Return whether an attempt is stuck, judged by its progress so far.

    Most pauses end by themselves. Waiting for as long as a new attempt would take to catch up costs
    at most twice the best choice in hindsight. The wait ends earlier where a later new attempt
    would make the job miss its objective, unless a new attempt would be late in any case.

    Parameters
    ----------
    attempt, group
        Attempt, and the group of its task.
    now_s
        Time until which the VM is known to have reported, on the event loop's clock.
    slack_s
        Returns how long a new attempt may still be delayed, in seconds; negative if it would be
        late already.
    """
    silent_s = now_s - attempt.last_progress_s
    if silent_s <= PAUSE_LIMIT_S:
        return False
    if attempt.phase is not AttemptPhase.RUNNING or group.step.long_running:
        return False
    remaining_percent = DONE_PERCENT - attempt.percent
    if group.step.gang and remaining_percent <= 0:
        # The member has completed its own part and waits for the slowest member.
        return False
    remaining_slack_s = slack_s()
    patience_s = attempt.catch_up_s()
    if remaining_slack_s >= 0:
        patience_s = min(patience_s, remaining_slack_s)
    if silent_s > max(STALL_LIMIT_S, STALL_SHARE * group.step.estimate_s, patience_s):
        return True
    observed_run_s = attempt.observed_run_s()
    if silent_s <= patience_s or observed_run_s <= 0:
        return False
    rate = (attempt.percent - attempt.first_percent) / observed_run_s
    return min(rate * silent_s, remaining_percent) >= PAUSE_PERCENT

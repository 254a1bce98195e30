"""Scheduling rounds and the state of the scheduler."""

from briardeal_scheduling.rounds._admission import check_request
from briardeal_scheduling.rounds._outcomes import handle_outcome, remove_lost_worker
from briardeal_scheduling.rounds._round import SchedulingRound
from briardeal_scheduling.rounds._state import SchedulerState

__all__ = [
    "SchedulingRound",
    "SchedulerState",
    "check_request",
    "handle_outcome",
    "remove_lost_worker",
]

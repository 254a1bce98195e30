"""Rounds of decisions, and the state that they are taken from."""

from briardeal_scheduling.rounds._admission import check_request
from briardeal_scheduling.rounds._endings import end_attempt, lose_worker
from briardeal_scheduling.rounds._round import Round
from briardeal_scheduling.rounds._state import SchedulerState

__all__ = ["Round", "SchedulerState", "check_request", "end_attempt", "lose_worker"]

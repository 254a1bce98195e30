"""Decisions of a round, outcomes of attempts, and the sentences that explain both."""

from briardeal_scheduling.decisions._causes import Cause
from briardeal_scheduling.decisions._decisions import (
    Abandon,
    Decision,
    Placement,
    Preempt,
    PreemptMode,
    Start,
)
from briardeal_scheduling.decisions._outcomes import (
    Failed,
    Finished,
    Lost,
    NotStarted,
    Outcome,
    Stopped,
)
from briardeal_scheduling.decisions._record import DecisionEntry, DecisionRecord, format_duration

__all__ = [
    "Abandon",
    "Cause",
    "Decision",
    "DecisionEntry",
    "Failed",
    "Finished",
    "Lost",
    "NotStarted",
    "Outcome",
    "Placement",
    "Preempt",
    "PreemptMode",
    "DecisionRecord",
    "Start",
    "Stopped",
    "format_duration",
]

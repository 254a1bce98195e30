"""The decisions of a round, the outcomes reported back, and the sentences that tell of both."""

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

"""Job scheduling: decides which job runs where and when, without any I/O."""

from briardeal_scheduling._scheduler import Scheduler
from briardeal_scheduling.decisions import (
    Abandon,
    Cause,
    Decision,
    Failed,
    Finished,
    Lost,
    NotStarted,
    Outcome,
    Placement,
    Preempt,
    PreemptMode,
    Start,
    Stopped,
)

__all__ = [
    "Abandon",
    "Cause",
    "Decision",
    "Failed",
    "Finished",
    "Lost",
    "NotStarted",
    "Outcome",
    "Placement",
    "Preempt",
    "PreemptMode",
    "Scheduler",
    "Start",
    "Stopped",
]

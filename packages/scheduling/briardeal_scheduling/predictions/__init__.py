"""Run times as they are to be expected, learned from those that were seen."""

from briardeal_scheduling.predictions._history import Prediction, RunTimeHistory

__all__ = ["RunTimeHistory", "Prediction"]

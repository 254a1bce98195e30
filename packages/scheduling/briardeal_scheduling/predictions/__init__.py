"""Run times as they are to be expected, learned from those that were seen."""

from briardeal_scheduling.predictions._history import History, Prediction

__all__ = ["History", "Prediction"]

"""Run time predictions, learned from observed run times."""

from briardeal_scheduling.predictions._history import Prediction, RunTimeHistory

__all__ = ["RunTimeHistory", "Prediction"]

"""Metrics of entries and agents."""

from briardeal_workflow.metrics._metrics import WorkflowMetrics

__all__ = ["WorkflowMetrics"]

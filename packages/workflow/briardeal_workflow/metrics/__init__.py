"""What entries and agents count."""

from briardeal_workflow.metrics._metrics import WorkflowMetrics

__all__ = ["WorkflowMetrics"]

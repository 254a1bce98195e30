"""Counters and gauges of a process, served in the Prometheus text format."""

from briardeal_core.metrics._metrics import MetricDescription, Metrics

__all__ = ["MetricDescription", "Metrics"]

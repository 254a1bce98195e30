"""The metrics of a process, with the counters that all processes have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.reasons import Reason


@attrs.frozen
class MetricDescription:
    """A metric as listed in the documentation.

    Parameters
    ----------
    name, kind
        Name and type of the metric: counter, gauge or histogram.
    meaning
        One sentence that says what the metric measures.
    """

    name: str
    kind: str
    meaning: str


class Metrics:
    """Metrics of one process.

    Attributes
    ----------
    registry
        All metrics of the process.
    refusals
        Counter of rejected requests and jobs, by reason code.
    retries
        Counter of retried requests and jobs, by reason code.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.refusals = self.counter("briardeal_refusals_total", "Refused work by reason.")
        self.retries = self.counter("briardeal_retries_total", "Work sent again by reason.")

    def counter(self, name: str, doc: str) -> Counter:
        """Return a new counter of this process."""
        return Counter(name, doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return a new gauge of this process."""
        return Gauge(name, doc, registry=self.registry)

    def histogram(self, name: str, doc: str, bounds_s: Sequence[float]) -> Histogram:
        """Return a new histogram of durations; `bounds_s` are the bucket limits in seconds."""
        return Histogram(name, doc, registry=self.registry, buckets=list(bounds_s))

    def count_refusal(self, reason: Reason) -> None:
        """Count one refusal."""
        self.refusals.inc({"reason": reason.code})

    def count_retry(self, reason: Reason) -> None:
        """Count one retry."""
        self.retries.inc({"reason": reason.code})

    def describe(self) -> list[MetricDescription]:
        """Return the descriptions of all metrics, sorted by name."""
        collectors = sorted(self.registry.get_all(), key=lambda collector: collector.name)
        return [
            MetricDescription(metric.name, metric.kind.name, metric.doc) for metric in collectors
        ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)

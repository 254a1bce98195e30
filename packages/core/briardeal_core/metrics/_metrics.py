"""The metrics that every process has in common."""

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
    """A metric as the documentation lists it.

    Parameters
    ----------
    name, kind
        Its name and whether it is a counter or a gauge.
    meaning
        One sentence.
    """

    name: str
    kind: str
    meaning: str


class Metrics:
    """Metrics of one process.

    Attributes
    ----------
    refusals
        Refused work, by reason code.
    retries
        Work sent again, by reason code.
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
        """Return a new histogram of this process, of times in seconds."""
        return Histogram(name, doc, registry=self.registry, buckets=list(bounds_s))

    def count_refusal(self, reason: Reason) -> None:
        """Count one refusal."""
        self.refusals.inc({"reason": reason.code})

    def count_retry(self, reason: Reason) -> None:
        """Count one retry."""
        self.retries.inc({"reason": reason.code})

    def describe(self) -> list[MetricDescription]:
        """Return what each metric means, by name."""
        found = sorted(self.registry.get_all(), key=lambda collector: collector.name)
        return [MetricDescription(each.name, each.kind.name, each.doc) for each in found]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)

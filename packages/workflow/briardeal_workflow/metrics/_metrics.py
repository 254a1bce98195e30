"""Counters of events and histograms of times."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from briardeal_core.metrics import Metrics

if TYPE_CHECKING:
    from briardeal_core.events import Event

CALL_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Bounds for calls; a store in order answers within 10 ms."""

START_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.1, 2.7, 5.0, 10.0, 30.0)
"""Bounds for first starts; urgent work is to start within 1.1 s."""

OUTCOME_FIELDS = ("reason", "outcome", "end", "status", "cause")
"""Fields of events that tell one outcome from another; the first that an event has is counted."""

UNBOUNDED_CAUSE = "makes room"
"""Causes that begin so name a job, which would make a counter for each."""


class WorkflowMetrics(Metrics):
    """Metrics of an entry or an agent.

    Attributes
    ----------
    events
        Events by name and outcome.
    acceptance_s, first_start_s, end_shown_s, store_call_s, takeover_s
        Times of a submission, from acceptance to first start, from the last end of a job to its
        final state being kept, of calls to the store, and from a claim to the first decision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.events = self.counter("briardeal_events_total", "Events by name and outcome.")
        self.acceptance_s = self.histogram(
            "briardeal_acceptance_seconds", "Time to accept or refuse a job.", CALL_BOUNDS_S
        )
        self.first_start_s = self.histogram(
            "briardeal_first_start_seconds",
            "Time from the acceptance of a job to its first start.",
            START_BOUNDS_S,
        )
        self.end_shown_s = self.histogram(
            "briardeal_end_shown_seconds",
            "Time from the last end of a job to its final state being kept and shown.",
            CALL_BOUNDS_S,
        )
        self.store_call_s = self.histogram(
            "briardeal_store_call_seconds", "Time of calls to the store by outcome.", CALL_BOUNDS_S
        )
        self.takeover_s = self.histogram(
            "briardeal_takeover_seconds",
            "Time from a claim to the first decision.",
            START_BOUNDS_S,
        )

    def count_event(self, event: Event, fields: dict[str, Any]) -> None:
        """Count one event with its outcome."""
        name = next((each for each in OUTCOME_FIELDS if each in fields), None)
        outcome = str(fields[name]) if name is not None else ""
        if outcome.startswith(UNBOUNDED_CAUSE):
            outcome = UNBOUNDED_CAUSE
        self.events.inc({"event": event.name.lower(), "outcome": outcome})

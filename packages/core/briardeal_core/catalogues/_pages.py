"""Rendering of the catalogues of events and reasons as Markdown."""

from __future__ import annotations

from briardeal_core.events import Event
from briardeal_core.reasons import Reason

EVENTS_HEADER = """# Events

Every line that a process logs is a JSON object. Its field `event` is the number of the event, and
`message_type` is its name. A number never changes its meaning.

| Number | Name | Meaning |
| --- | --- | --- |
"""

REASONS_HEADER = """# Reasons

Every unsuccessful answer contains one of these codes as `reason` and its sentence in `message`. The
counters `briardeal_refusals_total` and `briardeal_retries_total` are labelled with the code.

| Code | Sentence |
| --- | --- |
"""


def render_events() -> str:
    """Return the page that lists the events, as Markdown."""
    rows = [f"| {event.number} | `{event.name.lower()}` | {event.meaning} |" for event in Event]
    return EVENTS_HEADER + "\n".join(rows) + "\n"


def render_reasons() -> str:
    """Return the page that lists the reasons, as Markdown."""
    rows = [f"| `{reason.code}` | {reason.sentence} |" for reason in Reason]
    return REASONS_HEADER + "\n".join(rows) + "\n"

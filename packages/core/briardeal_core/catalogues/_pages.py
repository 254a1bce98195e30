"""Rendering of the catalogues as Markdown."""

from __future__ import annotations

from briardeal_core.events import Event
from briardeal_core.reasons import Reason

EVENTS_HEAD = """# Events

Every line that a process logs is a JSON object with `event`, the number, and `message_type`, the
name. A number never changes its meaning.

| Number | Name | Meaning |
| --- | --- | --- |
"""

REASONS_HEAD = """# Reasons

Every answer that is not a success carries one of these codes as `reason` and its sentence as
`message`. The counters `briardeal_refusals_total` and `briardeal_retries_total` count them by code.

| Code | Sentence |
| --- | --- |
"""


def render_events() -> str:
    """Return the page of events."""
    rows = [f"| {event.number} | `{event.name.lower()}` | {event.meaning} |" for event in Event]
    return EVENTS_HEAD + "\n".join(rows) + "\n"


def render_reasons() -> str:
    """Return the page of reasons."""
    rows = [f"| `{reason.code}` | {reason.sentence} |" for reason in Reason]
    return REASONS_HEAD + "\n".join(rows) + "\n"

"""Writing of numbered events through eliot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TextIO

    from briardeal_core.events._catalogue import Event

_observers: list[Callable[[Event, dict[str, Any]], None]] = []


def log_event(event: Event, **fields: Any) -> None:
    """Log one event with its number and the given fields."""
    for observe in _observers:
        observe(event, fields)
    eliot.log_message(message_type=event.name.lower(), event=event.number, **fields)


def add_event_observer(observe: Callable[[Event, dict[str, Any]], None]) -> None:
    """Call a function with each event and its fields, also with those that are not written."""
    _observers.append(observe)


def log_to_file(stream: TextIO) -> None:
    """Send the events of this process to a stream, one JSON object a line."""
    eliot.to_file(stream)


def add_log_destination(output: Callable[[dict[str, Any]], None]) -> None:
    """Send the events of this process to a function."""
    eliot.add_destinations(output)


def remove_log_destination(output: Callable[[dict[str, Any]], None]) -> None:
    """Send no more events to a function."""
    eliot.remove_destination(output)

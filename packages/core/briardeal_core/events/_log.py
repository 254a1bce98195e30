"""Logging of numbered events with eliot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TextIO

    from briardeal_core.events._catalogue import Event

_observers: list[Callable[[Event, dict[str, Any]], None]] = []


def log_event(event: Event, **fields: Any) -> None:
    """Log an event with its number and the given fields."""
    for observe in _observers:
        observe(event, fields)
    eliot.log_message(message_type=event.name.lower(), event=event.number, **fields)


def add_event_observer(observe: Callable[[Event, dict[str, Any]], None]) -> None:
    """Call a function with every logged event and its fields, even if no line is written."""
    _observers.append(observe)


def log_to_file(stream: TextIO) -> None:
    """Write the events of this process to a stream, as one JSON object per line."""
    eliot.to_file(stream)


def add_log_destination(output: Callable[[dict[str, Any]], None]) -> None:
    """Pass the events of this process to a function."""
    eliot.add_destinations(output)


def remove_log_destination(output: Callable[[dict[str, Any]], None]) -> None:
    """Stop passing events to a function."""
    eliot.remove_destination(output)

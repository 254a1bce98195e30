"""Writing of numbered events through eliot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from typing import TextIO

    from briardeal_core.events._catalogue import Event


def log_event(event: Event, **fields: Any) -> None:
    """Log one event with its number and the given fields."""
    eliot.log_message(message_type=event.name.lower(), event=event.number, **fields)


def log_to_file(stream: TextIO) -> None:
    """Send the events of this process to a stream, one JSON object a line."""
    eliot.to_file(stream)

"""Numbered log events, listed in `docs/user-guide/events.md`, and their output."""

from briardeal_core.events._catalogue import Event
from briardeal_core.events._log import (
    add_event_observer,
    add_log_destination,
    log_event,
    log_to_file,
    remove_log_destination,
)
from briardeal_core.events._output import LogOutput, encode_line

__all__ = [
    "Event",
    "LogOutput",
    "add_event_observer",
    "add_log_destination",
    "encode_line",
    "log_event",
    "log_to_file",
    "remove_log_destination",
]

"""Numbered log events; the catalogue is in `docs/user-guide/events.md`."""

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
    "encode_line",
    "remove_log_destination",
    "log_event",
    "add_log_destination",
    "log_to_file",
    "add_event_observer",
]

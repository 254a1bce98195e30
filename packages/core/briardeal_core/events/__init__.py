"""Numbered log events; the catalogue is in `docs/user-guide/events.md`."""

from briardeal_core.events._catalogue import Event
from briardeal_core.events._log import (
    end_log_to,
    log_event,
    log_to,
    log_to_file,
    observe_events,
)
from briardeal_core.events._output import LogOutput, encode_line

__all__ = [
    "Event",
    "LogOutput",
    "encode_line",
    "end_log_to",
    "log_event",
    "log_to",
    "log_to_file",
    "observe_events",
]

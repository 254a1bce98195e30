"""Numbered log events; the catalogue is in `docs/user-guide/events.md`."""

from briardeal_core.events._catalogue import Event
from briardeal_core.events._log import log_event, log_to, log_to_file, observe_events
from briardeal_core.events._output import LogOutput

__all__ = ["Event", "LogOutput", "log_event", "log_to", "log_to_file", "observe_events"]

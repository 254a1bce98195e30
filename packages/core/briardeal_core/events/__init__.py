"""Numbered log events; the catalogue is in `docs/user-guide/events.md`."""

from briardeal_core.events._catalogue import Event
from briardeal_core.events._log import log_event, log_to_file

__all__ = ["Event", "log_event", "log_to_file"]

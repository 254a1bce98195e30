"""Stand-in for the log of the platform, in memory and over HTTP, with selectable faults."""

from briardeal_standins.log._faults import Faults
from briardeal_standins.log._memory import MemoryLog
from briardeal_standins.log._server import create_application
from briardeal_standins.log._store import LogStore

__all__ = ["Faults", "LogStore", "MemoryLog", "create_application"]

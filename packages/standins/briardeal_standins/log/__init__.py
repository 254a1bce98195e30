"""A stand-in for the platform's log, in memory and over HTTP, with faults to order."""

from briardeal_standins.log._faults import Faults
from briardeal_standins.log._memory import MemoryLog
from briardeal_standins.log._server import create_application
from briardeal_standins.log._store import LogStore

__all__ = ["Faults", "LogStore", "MemoryLog", "create_application"]

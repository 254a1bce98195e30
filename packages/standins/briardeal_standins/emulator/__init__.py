"""Entries and agents on virtual time, with stand-ins of the store, the workers and callers."""

from briardeal_standins.emulator._checker import Checker, Violation
from briardeal_standins.emulator._emulator import CONFIGURATION, Emulator
from briardeal_standins.emulator._store import MemoryStore, StoreClient, StoreFault
from briardeal_standins.emulator._worker import StandinVm, TaskBehavior, VmFault

__all__ = [
    "CONFIGURATION",
    "Violation",
    "Checker",
    "Emulator",
    "MemoryStore",
    "TaskBehavior",
    "StandinVm",
    "StoreClient",
    "StoreFault",
    "VmFault",
]

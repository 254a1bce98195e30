"""Emulated deployment on virtual time, with a simulated store and simulated workers."""

from briardeal_standins.emulator._checker import Checker, Violation
from briardeal_standins.emulator._emulator import CONFIGURATION, Emulator
from briardeal_standins.emulator._progress import ProgressCheck, StandStill
from briardeal_standins.emulator._scenarios import (
    Disruption,
    run_disruption,
    run_scenario,
)
from briardeal_standins.emulator._store import MemoryStore, StoreClient, StoreFault
from briardeal_standins.emulator._worker import StandinVm, TaskBehavior, VmFault

__all__ = [
    "CONFIGURATION",
    "Violation",
    "Checker",
    "Disruption",
    "Emulator",
    "MemoryStore",
    "ProgressCheck",
    "TaskBehavior",
    "StandStill",
    "StandinVm",
    "StoreClient",
    "StoreFault",
    "VmFault",
    "run_disruption",
    "run_scenario",
]

"""Python modules that run as processes, with their memory and processor time."""

from briardeal_standins.processes._processes import Processes, free_address
from briardeal_standins.processes._usage import cpu_s, resident_mb

__all__ = ["Processes", "cpu_s", "free_address", "resident_mb"]

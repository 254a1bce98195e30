"""Processes under measurement and what they use."""

from __future__ import annotations

import os
import re
import socket
import subprocess
import sys
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class MeasuredProcess:
    """A Python module run as a process.

    Parameters
    ----------
    module
        Module to run.
    arguments
        Its arguments.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self.process = subprocess.Popen(command, stderr=subprocess.DEVNULL)

    def resident_mb(self) -> float:
        """Return the resident memory, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"

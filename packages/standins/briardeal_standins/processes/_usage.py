"""Memory and processor time of a process, read from `/proc`."""

from __future__ import annotations

import os
import re
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def cpu_s(pid: int) -> float:
    """Return the processor time used by a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

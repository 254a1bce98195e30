"""Memory of the agent process."""

from __future__ import annotations

import subprocess
import sys

from bench.figures import Bound, Figure

AGENT_MEMORY_MB = 32

_SCRIPT = """
import briardeal_agent.__main__
import re
print(re.search(r'VmRSS:\\s+(\\d+)', open('/proc/self/status').read()).group(1))
"""


def measure() -> list[Figure]:
    """Return the resident memory of an agent that has loaded all that it uses."""
    output = subprocess.run([sys.executable, "-c", _SCRIPT], capture_output=True, text=True)
    resident_mb = int(output.stdout) / 1024
    bound = Bound("<=", AGENT_MEMORY_MB)
    return [Figure("agent", "resident memory, all modules loaded", resident_mb, "MB", bound)]

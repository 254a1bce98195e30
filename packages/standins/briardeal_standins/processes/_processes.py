"""Group of processes that are started and stopped together."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs

STOP_TIMEOUT_S = 10


@attrs.define
class Processes:
    """Running processes by name, each with a file for its output."""

    folder: Path = attrs.field(factory=lambda: Path(tempfile.mkdtemp(prefix="briardeal-")))
    running: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> int:
        """Start a module as a process and return its process ID."""
        output = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", module, *arguments]
        self.running[name] = subprocess.Popen(command, stdout=output, stderr=output)
        return self.running[name].pid

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.running.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def kill_all(self) -> None:
        """Kill all running processes."""
        for name in list(self.running):
            self.kill(name)


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"

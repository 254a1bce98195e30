"""What the platform offers on one worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec

from briardeal_protocol.messages import StopMode, TaskState


class PlatformTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task as the platform knows it.

    Parameters
    ----------
    task_id
        Name of the task, chosen by the agent; starting the same name twice starts it once.
    state
        Where it stands.
    accelerators
        Accelerators that it holds.
    run_s
        How long it has run, in seconds.
    checkpoint
        Name of its newest checkpoint; empty where there is none.
    command
        What it runs.
    detail
        Why it failed.
    job_id, attempt
        The job and the number of its start.
    workers
        All workers of the gang.
    token
        Fencing token of the owner that ordered the start.
    """

    task_id: str
    state: TaskState = TaskState.RUNNING
    accelerators: int = 0
    run_s: float = 0.0
    checkpoint: str = ""
    command: str = ""
    detail: str = ""
    job_id: str = ""
    attempt: int = 0
    workers: tuple[str, ...] = ()
    token: int = 0


@dataclass(frozen=True)
class WorkerUnavailable:
    """The platform gave no answer; what was asked may or may not have happened."""

    detail: str = ""


class Worker(Protocol):
    """The platform's API for tasks under leases on one worker."""

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerUnavailable | None:
        """Start a task, once for each name; the platform stops it when its lease lapses."""

    async def renew(self, task_id: str, lease_s: float) -> WorkerUnavailable | None:
        """Renew the lease of a task."""

    async def stop(self, task_id: str, mode: StopMode) -> WorkerUnavailable | None:
        """Stop, checkpoint or throttle a task."""

    async def tasks(self) -> list[PlatformTask] | WorkerUnavailable:
        """Return all tasks, those that ended lately among them."""

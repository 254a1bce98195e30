"""Interface of the worker platform's API for tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec

from briardeal_protocol.messages import StopMode, TaskState


class PlatformTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task as stored and listed by the platform.

    Parameters
    ----------
    task_id
        ID of the task, chosen by the agent; starting an ID twice starts one task.
    state
        Current state.
    accelerators
        Number of accelerators.
    run_s
        Run time so far, in seconds.
    checkpoint
        Name of the newest checkpoint; empty for none.
    command
        Command to run.
    detail
        Reason for a failure.
    job_id, attempt
        Job and attempt number.
    workers
        Workers of all members of the gang.
    token
        Fencing token of the owner that sent the order.
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
    """No usable answer from the platform; the call may or may not have taken effect."""

    detail: str = ""


class Worker(Protocol):
    """The platform's API for tasks under leases on one worker."""

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerUnavailable | None:
        """Start a task, at most once for each ID; the platform stops it when its lease expires."""

    async def renew(self, task_id: str, lease_s: float) -> WorkerUnavailable | None:
        """Renew the lease of a task."""

    async def stop(self, task_id: str, mode: StopMode) -> WorkerUnavailable | None:
        """Stop, checkpoint or throttle a task."""

    async def tasks(self) -> list[PlatformTask] | WorkerUnavailable:
        """Return all tasks, including those that ended recently."""

"""Tasks under leases on one worker, in memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_agent.workers import PlatformTask, WorkerDown
from briardeal_protocol.messages import StopMode, TaskState

if TYPE_CHECKING:
    from collections.abc import Callable

CHECKPOINT_S = 0.3
DEFAULT_RUN_S = 1.0


@attrs.define
class RunningTask:
    """A task as the stand-in keeps it.

    Parameters
    ----------
    task
        The task as told.
    started_s
        When it started, on the loop's clock.
    ends_s
        When it finishes by itself.
    lease_until_s
        When the platform stops it unless its lease is renewed.
    """

    task: PlatformTask
    started_s: float
    ends_s: float
    lease_until_s: float


class StandinWorker:
    """The platform on one worker.

    A task's command is the number of seconds that it runs, or `fail`.

    Parameters
    ----------
    now_s
        Clock of the loop; that of the running loop when not given.

    Attributes
    ----------
    down
        Whether the platform gives no answers.
    starts
        How often each task was started.
    """

    def __init__(self, now_s: Callable[[], float] | None = None) -> None:
        self.now_s = now_s or _loop_time
        self.down = False
        self.running: dict[str, RunningTask] = {}
        self.starts: dict[str, int] = {}

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerDown | None:
        """Start a task, once for each name."""
        if self.down:
            return WorkerDown("down")
        if task.task_id not in self.running:
            now_s = self.now_s()
            self.starts[task.task_id] = self.starts.get(task.task_id, 0) + 1
            state = TaskState.FAILED if task.command == "fail" else TaskState.RUNNING
            self.running[task.task_id] = RunningTask(
                msgspec.structs.replace(task, state=state),
                now_s,
                now_s + _run_s(task.command),
                now_s + lease_s,
            )
        return None

    async def renew(self, task_id: str, lease_s: float) -> WorkerDown | None:
        """Renew the lease of a task."""
        if self.down:
            return WorkerDown("down")
        if task_id in self.running:
            self.running[task_id].lease_until_s = self.now_s() + lease_s
        return None

    async def stop(self, task_id: str, mode: StopMode) -> WorkerDown | None:
        """Stop, checkpoint or throttle a task."""
        if self.down:
            return WorkerDown("down")
        held = self.running.get(task_id)
        if held is not None and held.task.state is TaskState.RUNNING:
            self._stop(held, mode)
        return None

    async def tasks(self) -> list[PlatformTask] | WorkerDown:
        """Return all tasks."""
        if self.down:
            return WorkerDown("down")
        for held in self.running.values():
            self._advance(held)
        return [held.task for held in self.running.values()]

    def _stop(self, held: RunningTask, mode: StopMode) -> None:
        if mode is StopMode.STOP:
            held.task = msgspec.structs.replace(held.task, state=TaskState.STOPPED)
        elif mode is StopMode.CHECKPOINT:
            held.task = msgspec.structs.replace(
                held.task, state=TaskState.STOPPING, checkpoint=f"at-{self.now_s():.3f}"
            )
            held.ends_s = self.now_s() + CHECKPOINT_S

    def _advance(self, held: RunningTask) -> None:
        now_s = self.now_s()
        if held.task.state is TaskState.STOPPING and held.ends_s <= now_s:
            held.task = msgspec.structs.replace(held.task, state=TaskState.STOPPED)
        if held.task.state is not TaskState.RUNNING:
            return
        state = TaskState.RUNNING
        if held.ends_s <= now_s:
            state = TaskState.FINISHED
        elif held.lease_until_s <= now_s:
            state = TaskState.STOPPED
        held.task = msgspec.structs.replace(held.task, state=state, run_s=now_s - held.started_s)


def _run_s(command: str) -> float:
    try:
        return float(command)
    except ValueError:
        return DEFAULT_RUN_S


def _loop_time() -> float:
    return asyncio.get_running_loop().time()

"""Tasks under leases on one worker, in memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_agent.workers import PlatformTask, WorkerUnavailable
from briardeal_core.clock import loop_time
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
    ended_s
        When it ended; `None` while it runs.
    """

    task: PlatformTask
    started_s: float
    ends_s: float
    lease_until_s: float
    ended_s: float | None = None

    def end(self, state: TaskState, at_s: float) -> None:
        """Note that the task runs no more."""
        self.ended_s = at_s
        run_s = at_s - self.started_s
        self.task = msgspec.structs.replace(self.task, state=state, run_s=run_s)

    def advance(self, now_s: float) -> None:
        """Let the task end where its time or its lease is over."""
        if self.ended_s is not None:
            return
        if min(self.ends_s, self.lease_until_s) > now_s:
            run_s = now_s - self.started_s
            self.task = msgspec.structs.replace(self.task, run_s=run_s)
        elif self.lease_until_s < self.ends_s or self.task.state is TaskState.STOPPING:
            self.end(TaskState.STOPPED, min(self.ends_s, self.lease_until_s))
        else:
            self.end(TaskState.FINISHED, self.ends_s)


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
        Whether the platform gives no answers and does nothing that is asked.
    lost_answers
        How many of the next starts and stops take effect but are not answered.
    delay_s
        Time added to every call, in seconds.
    starts
        How often each task was started.
    """

    def __init__(self, now_s: Callable[[], float] | None = None) -> None:
        self.now_s = now_s or loop_time
        self.down = False
        self.lost_answers = 0
        self.delay_s = 0.0
        self.running: dict[str, RunningTask] = {}
        self.starts: dict[str, int] = {}

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerUnavailable | None:
        """Start a task, once for each name."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        if task.task_id not in self.running:
            self._start(task, lease_s)
        return self._answer()

    async def renew(self, task_id: str, lease_s: float) -> WorkerUnavailable | None:
        """Renew the lease of a task that still runs."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        held = self.running.get(task_id)
        if held is not None:
            held.advance(self.now_s())
            held.lease_until_s = self.now_s() + lease_s
        return None

    async def stop(self, task_id: str, mode: StopMode) -> WorkerUnavailable | None:
        """Stop, checkpoint or throttle a task."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        held = self.running.get(task_id)
        if held is not None:
            held.advance(self.now_s())
            self._stop(held, mode)
        return self._answer()

    async def tasks(self) -> list[PlatformTask] | WorkerUnavailable:
        """Return all tasks."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        for held in self.running.values():
            held.advance(self.now_s())
        return [held.task for held in self.running.values()]

    def _start(self, task: PlatformTask, lease_s: float) -> None:
        now_s = self.now_s()
        self.starts[task.task_id] = self.starts.get(task.task_id, 0) + 1
        running = msgspec.structs.replace(task, state=TaskState.RUNNING)
        ends_s = now_s + _run_s(task.command)
        held = RunningTask(running, now_s, ends_s, now_s + lease_s)
        if task.command == "fail":
            held.end(TaskState.FAILED, now_s)
        self.running[task.task_id] = held

    def _stop(self, held: RunningTask, mode: StopMode) -> None:
        now_s = self.now_s()
        if held.ended_s is not None:
            return
        if mode is StopMode.STOP:
            held.end(TaskState.STOPPED, now_s)
        elif mode is StopMode.CHECKPOINT and held.task.state is not TaskState.STOPPING:
            held.task = msgspec.structs.replace(
                held.task, state=TaskState.STOPPING, checkpoint=f"at-{now_s:.3f}"
            )
            held.ends_s = now_s + CHECKPOINT_S

    def _answer(self) -> WorkerUnavailable | None:
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return WorkerUnavailable("no answer")
        return None


def _run_s(command: str) -> float:
    try:
        return float(command)
    except ValueError:
        return DEFAULT_RUN_S

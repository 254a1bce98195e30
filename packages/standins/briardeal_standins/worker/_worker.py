"""In-memory worker that runs tasks under leases."""

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

CHECKPOINT_DURATION_S = 0.3
DEFAULT_DURATION_S = 1.0


@attrs.define
class WorkerTask:
    """A task of the worker, running or ended.

    Parameters
    ----------
    task
        Task with its current state, as the worker reports it.
    started_s
        When it started, on the loop's clock.
    finish_s
        When it finishes unless it is stopped earlier, on the loop's clock.
    lease_end_s
        When the worker stops it unless its lease is renewed, on the loop's clock.
    ended_s
        When it ended, on the loop's clock; `None` while it runs.
    """

    task: PlatformTask
    started_s: float
    finish_s: float
    lease_end_s: float
    ended_s: float | None = None

    def end(self, state: TaskState, at_s: float) -> None:
        """Record that the task has ended with a state."""
        self.ended_s = at_s
        run_s = at_s - self.started_s
        self.task = msgspec.structs.replace(self.task, state=state, run_s=run_s)

    def advance(self, now_s: float) -> None:
        """End the task if it has finished or its lease has expired."""
        if self.ended_s is not None:
            return
        if min(self.finish_s, self.lease_end_s) > now_s:
            run_s = now_s - self.started_s
            self.task = msgspec.structs.replace(self.task, run_s=run_s)
        elif self.lease_end_s < self.finish_s or self.task.state is TaskState.STOPPING:
            self.end(TaskState.STOPPED, min(self.finish_s, self.lease_end_s))
        else:
            self.end(TaskState.FINISHED, self.finish_s)


class StandinWorker:
    """Simulated platform on one worker.

    The command of a task is its duration in seconds, or `fail`.

    Parameters
    ----------
    now_s
        Returns the time, in seconds; the time of the running loop by default.

    Attributes
    ----------
    down
        Whether calls fail without effect.
    lost_answers
        Number of the next starts and stops that take effect but are not answered.
    delay_s
        Time added to every call, in seconds.
    starts
        Number of starts of each task.
    running
        Running and ended tasks by id.
    """

    def __init__(self, now_s: Callable[[], float] | None = None) -> None:
        self.now_s = now_s or loop_time
        self.down = False
        self.lost_answers = 0
        self.delay_s = 0.0
        self.running: dict[str, WorkerTask] = {}
        self.starts: dict[str, int] = {}

    async def start(self, task: PlatformTask, lease_s: float) -> WorkerUnavailable | None:
        """Start a task; repeating the call has no effect."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        if task.task_id not in self.running:
            self._start(task, lease_s)
        return self._create_answer()

    async def renew(self, task_id: str, lease_s: float) -> WorkerUnavailable | None:
        """Renew the lease of a task."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        worker_task = self.running.get(task_id)
        if worker_task is not None:
            worker_task.advance(self.now_s())
            worker_task.lease_end_s = self.now_s() + lease_s
        return None

    async def stop(self, task_id: str, mode: StopMode) -> WorkerUnavailable | None:
        """Stop, checkpoint or throttle a task."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        worker_task = self.running.get(task_id)
        if worker_task is not None:
            worker_task.advance(self.now_s())
            self._stop(worker_task, mode)
        return self._create_answer()

    async def tasks(self) -> list[PlatformTask] | WorkerUnavailable:
        """Return all tasks."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            return WorkerUnavailable("down")
        for worker_task in self.running.values():
            worker_task.advance(self.now_s())
        return [worker_task.task for worker_task in self.running.values()]

    def _start(self, task: PlatformTask, lease_s: float) -> None:
        now_s = self.now_s()
        self.starts[task.task_id] = self.starts.get(task.task_id, 0) + 1
        running = msgspec.structs.replace(task, state=TaskState.RUNNING)
        finish_s = now_s + _parse_duration_s(task.command)
        worker_task = WorkerTask(running, now_s, finish_s, now_s + lease_s)
        if task.command == "fail":
            worker_task.end(TaskState.FAILED, now_s)
        self.running[task.task_id] = worker_task

    def _stop(self, worker_task: WorkerTask, mode: StopMode) -> None:
        now_s = self.now_s()
        if worker_task.ended_s is not None:
            return
        if mode is StopMode.STOP:
            worker_task.end(TaskState.STOPPED, now_s)
        elif mode is StopMode.CHECKPOINT and worker_task.task.state is not TaskState.STOPPING:
            worker_task.task = msgspec.structs.replace(
                worker_task.task, state=TaskState.STOPPING, checkpoint=f"at-{now_s:.3f}"
            )
            worker_task.finish_s = now_s + CHECKPOINT_DURATION_S

    def _create_answer(self) -> WorkerUnavailable | None:
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return WorkerUnavailable("no answer")
        return None


def _parse_duration_s(command: str) -> float:
    try:
        return float(command)
    except ValueError:
        return DEFAULT_DURATION_S

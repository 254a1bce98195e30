"""The state of a gang as its agents report it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.jobs._worker_registry import ENDED_STATES
from briardeal_core.clock import loop_time
from briardeal_protocol.messages import StopMode, TaskState
from briardeal_scheduling import Failed, Finished, Lost, NotStarted, Stopped

if TYPE_CHECKING:
    from briardeal.jobs._gang_client import Gang
    from briardeal.jobs._worker_registry import WorkerRegistry
    from briardeal_protocol.messages import TaskStatus
    from briardeal_scheduling import Outcome

LOST_GRACE_S = 10.0
"""How long a worker may be unreachable before the attempt of its gang is abandoned."""

CLOCK_SKEW_S = 5.0
RUNNING_OR_FINISHED = {TaskState.RUNNING, TaskState.FINISHED}


@attrs.define(eq=False)
class GangState:
    """State of a gang, derived from the task states that its agents report.

    Parameters
    ----------
    registry
        Connected worker agents and their tasks.
    gang
        The gang.
    placed_at_s
        When the gang was placed, by wall time in seconds since the epoch; 0 if that is unknown.
    was_fully_running
        Whether all members are known to have run at the same time.
    transition_until_s
        Until when members may still be starting or stopping as ordered, on the clock of the event
        loop.
    finished
        Final status of each member that has finished, by worker; kept after the worker is lost.
    checkpoints
        Newest checkpoint of each task, once every task has written one since this attempt began;
        kept after a worker is lost.
    """

    registry: WorkerRegistry
    gang: Gang
    placed_at_s: float = 0.0
    was_fully_running: bool = False
    transition_until_s: float = 0.0
    finished: dict[str, TaskStatus] = attrs.field(factory=dict)
    checkpoints: tuple[str, ...] = ()

    def evaluate(self, stop_mode: StopMode | None) -> Outcome | None:
        """Return the outcome of the attempt, or `None` while it can continue.

        Parameters
        ----------
        stop_mode
            How the gang was ordered to stop; `None` if it was not.
        """
        statuses = self._statuses()
        states = [None if status is None else status.state for status in statuses]
        newest = self._newest_checkpoints(statuses)
        self.checkpoints = newest or self.checkpoints
        self.was_fully_running = self.was_fully_running or all(
            state in RUNNING_OR_FINISHED for state in states
        )
        if all(state is TaskState.FINISHED for state in states):
            return Finished()
        broken = self._find_broken_worker(statuses)
        if broken is None:
            return None
        if all(state in ENDED_STATES for state in states) and newest:
            return Stopped(checkpointed=True)
        if TaskState.FAILED in states:
            return Failed(self.gang.workers[states.index(TaskState.FAILED)])
        if not self._may_gang_have_run(statuses):
            return NotStarted(broken)
        was_ordered = stop_mode in (StopMode.STOP, StopMode.CHECKPOINT)
        return Stopped() if was_ordered and broken in self.registry.agents else Lost(broken)

    def is_stopped(self, unreachable_stopped: bool) -> bool:
        """Return whether it is certain that no task of the gang runs any more.

        Parameters
        ----------
        unreachable_stopped
            Whether enough time has passed for tasks on unreachable workers to have stopped.
        """
        return all(
            self._is_member_stopped(worker, unreachable_stopped) for worker in self.gang.workers
        )

    def _newest_checkpoints(self, statuses: list[TaskStatus | None]) -> tuple[str, ...]:
        names = tuple(s.checkpoint for s in statuses if s is not None and s.checkpoint)
        if len(names) < len(self.gang.workers):
            return ()
        pairs = zip(names, self.gang.checkpoints, strict=False)
        return () if any(new == old for new, old in pairs) else names

    def _find_broken_worker(self, statuses: list[TaskStatus | None]) -> str | None:
        """Return a worker whose member can no longer run or finish; `None` if there is none."""
        now_s = loop_time()
        overdue = now_s >= self.transition_until_s
        any_stopping = any(s is not None and s.state is TaskState.STOPPING for s in statuses)
        for worker, status in zip(self.gang.workers, statuses, strict=True):
            if self._is_lost(worker, status, now_s):
                failed = status is not None and status.state is TaskState.FAILED
                is_broken = overdue or failed or not any_stopping
            else:
                is_broken = (
                    overdue and status is not None and status.state not in RUNNING_OR_FINISHED
                )
            if is_broken:
                return worker
        return None

    def _is_lost(self, worker: str, status: TaskStatus | None, now_s: float) -> bool:
        if status is not None:
            return status.state in ENDED_STATES and status.state is not TaskState.FINISHED
        agent = self.registry.agents.get(worker)
        if agent is not None:
            return agent.inventory_complete and now_s >= self.transition_until_s
        return now_s >= self.registry.lost_at_s.setdefault(worker, now_s) + LOST_GRACE_S

    def _may_gang_have_run(self, statuses: list[TaskStatus | None]) -> bool:
        """Return whether all members may have run at the same time."""
        pairs = zip(self.gang.workers, statuses, strict=True)
        return self.was_fully_running or all(self._may_member_have_run(*pair) for pair in pairs)

    def _may_member_have_run(self, worker: str, status: TaskStatus | None) -> bool:
        if status is not None:
            return status.ran
        agent = self.registry.agents.get(worker)
        if agent is None or not agent.inventory_complete:
            return True
        agent_started_at_s = agent.entry.hello.incarnation / 1000
        return agent_started_at_s > self.placed_at_s - CLOCK_SKEW_S

    def _is_member_stopped(self, worker: str, unreachable_stopped: bool) -> bool:
        if worker in self.finished:
            return True
        if self.registry.is_free_of_attempt(worker, self.gang.job.job_id, self.gang.attempt):
            return True
        return unreachable_stopped and worker not in self.registry.agents

    def _statuses(self) -> list[TaskStatus | None]:
        return [self._status(worker) for worker in self.gang.workers]

    def _status(self, worker: str) -> TaskStatus | None:
        if worker in self.finished:
            return self.finished[worker]
        status = self.registry.find_task(worker, self.gang.job.job_id, self.gang.attempt)
        if status is not None and status.state is TaskState.FINISHED:
            self.finished[worker] = status
        return status

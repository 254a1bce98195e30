"""How a gang stands, by what its agents say."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal.jobs._members import ENDED
from briardeal_core.clock import loop_time
from briardeal_protocol.messages import StopMode, TaskState
from briardeal_scheduling import Failed, Finished, Lost, NotStarted, Stopped

if TYPE_CHECKING:
    from briardeal.jobs._gang_client import Gang
    from briardeal.jobs._members import Members
    from briardeal_protocol.messages import TaskStatus
    from briardeal_scheduling import Outcome

LOST_GRACE_S = 10.0
"""How long a worker may be out of reach before its gang is given up."""

CLOCK_SKEW_S = 5.0
GOES_ON = {TaskState.RUNNING, TaskState.FINISHED}


@attrs.define(eq=False)
class GangState:
    """How a gang stands.

    Parameters
    ----------
    members
        Agents in reach.
    gang
        The gang.
    placed_at_s
        When it was placed, by wall time in seconds; 0 where that is not known.
    was_whole
        Whether every member is known to have run at once.
    settle_until_s
        Until when members may still be on their way to what they were ordered to, on the loop's
        clock.
    finished
        Members that have finished, which counts even after their worker is gone.
    checkpoints
        Newest checkpoint of each task, once all wrote one that they did not start from; it counts
        even after a worker is gone.
    """

    members: Members
    gang: Gang
    placed_at_s: float = 0.0
    was_whole: bool = False
    settle_until_s: float = 0.0
    finished: dict[str, TaskStatus] = attrs.field(factory=dict)
    checkpoints: tuple[str, ...] = ()

    def judge(self, leaving: StopMode | None) -> Outcome | None:
        """Return how the attempt ended, or `None` while it goes on.

        Parameters
        ----------
        leaving
            How the gang was told to leave, if it was.
        """
        statuses = self._statuses()
        states = [None if status is None else status.state for status in statuses]
        newest = self._newest_checkpoints(statuses)
        self.checkpoints = newest or self.checkpoints
        self.was_whole = self.was_whole or all(state in GOES_ON for state in states)
        if all(state is TaskState.FINISHED for state in states):
            return Finished()
        broken = self._broken(statuses)
        if broken is None:
            return None
        if all(state in ENDED for state in states) and newest:
            return Stopped(checkpointed=True)
        if TaskState.FAILED in states:
            return Failed(self.gang.workers[states.index(TaskState.FAILED)])
        if not self._may_have_run(statuses):
            return NotStarted(broken)
        ordered_out = leaving in (StopMode.STOP, StopMode.CHECKPOINT)
        return Stopped() if ordered_out and broken in self.members.agents else Lost(broken)

    def is_settled(self, lapsed: bool) -> bool:
        """Return whether nothing of the gang runs any more.

        Parameters
        ----------
        lapsed
            Whether tasks on workers out of reach have surely stopped.
        """
        return all(self._is_member_settled(worker, lapsed) for worker in self.gang.workers)

    def _newest_checkpoints(self, statuses: list[TaskStatus | None]) -> tuple[str, ...]:
        names = tuple(s.checkpoint for s in statuses if s is not None and s.checkpoint)
        if len(names) < len(self.gang.workers):
            return ()
        pairs = zip(names, self.gang.checkpoints, strict=False)
        return () if any(new == old for new, old in pairs) else names

    def _broken(self, statuses: list[TaskStatus | None]) -> str | None:
        """Return a worker whose member is gone for good, or `None` where there is none."""
        now_s = loop_time()
        overdue = now_s >= self.settle_until_s
        leaving = any(s is not None and s.state is TaskState.STOPPING for s in statuses)
        for worker, status in zip(self.gang.workers, statuses, strict=True):
            if self._is_gone(worker, status, now_s):
                failed = status is not None and status.state is TaskState.FAILED
                hopeless = overdue or failed or not leaving
            else:
                hopeless = overdue and status is not None and status.state not in GOES_ON
            if hopeless:
                return worker
        return None

    def _is_gone(self, worker: str, status: TaskStatus | None, now_s: float) -> bool:
        if status is not None:
            return status.state in ENDED and status.state is not TaskState.FINISHED
        agent = self.members.agents.get(worker)
        if agent is not None:
            return agent.listed and now_s >= self.settle_until_s
        return now_s >= self.members.lost_s.setdefault(worker, now_s) + LOST_GRACE_S

    def _may_have_run(self, statuses: list[TaskStatus | None]) -> bool:
        """Return whether every member may have run at once."""
        pairs = zip(self.gang.workers, statuses, strict=True)
        return self.was_whole or all(self._may_member_have_run(*pair) for pair in pairs)

    def _may_member_have_run(self, worker: str, status: TaskStatus | None) -> bool:
        if status is not None:
            return status.ran
        agent = self.members.agents.get(worker)
        if agent is None or not agent.listed:
            return True
        up_since_s = agent.entry.hello.incarnation / 1000
        return up_since_s > self.placed_at_s - CLOCK_SKEW_S

    def _is_member_settled(self, worker: str, lapsed: bool) -> bool:
        if worker in self.finished:
            return True
        if self.members.holds_nothing(worker, self.gang.job.job_id, self.gang.attempt):
            return True
        return lapsed and worker not in self.members.agents

    def _statuses(self) -> list[TaskStatus | None]:
        return [self._status(worker) for worker in self.gang.workers]

    def _status(self, worker: str) -> TaskStatus | None:
        if worker in self.finished:
            return self.finished[worker]
        status = self.members.find(worker, self.gang.job.job_id, self.gang.attempt)
        if status is not None and status.state is TaskState.FINISHED:
            self.finished[worker] = status
        return status

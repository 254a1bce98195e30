"""One member of a gang on this worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_agent.workers import PlatformTask
from briardeal_protocol.messages import StopMode, TaskState, TaskStatus

if TYPE_CHECKING:
    from briardeal_protocol.messages import ReserveTask

TASK_LEASE_S = 30.0
"""Maximum lease of a task at the platform, in seconds."""

MEMBER_TTL_S = 60.0
"""Time for which a member continues to run after its gang was last confirmed complete, in seconds.

It counts from the time at which the confirmed report was sent.
"""

PARTIAL_GANG_LIMIT_S = MEMBER_TTL_S + 2.0
"""Maximum time for which a member runs while its gang is incomplete, in seconds."""

START_TTL_S = 20.0
"""Time within which the gang of a new member must be confirmed first, in seconds."""

ENDED_STATES = {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
LIVE_STATES = {TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING}


@attrs.define(eq=False)
class GangMember:
    """One member of a gang on this worker.

    Parameters
    ----------
    platform_task
        The task as ordered from the platform, or as last listed by the platform.
    state
        Current state.
    reservation_expires_s
        Time at which an unused reservation expires, on the loop's clock.
    confirmed_until_s
        Time at which the task is stopped unless its gang is confirmed, on the loop's clock; `None`
        after a restart of the agent, when only the platform's lease limits the task.
    stop_mode
        Mode of the stop in progress.
    ran
        Whether a start order was ever sent to the platform.
    version
        Increases with every order, so that a list of tasks made before the order is ignored.
    order_pending
        Whether a start order to the platform is unanswered.
    ended_s
        Time at which it ended, on the loop's clock.
    """

    platform_task: PlatformTask
    state: TaskState
    reservation_expires_s: float = 0.0
    confirmed_until_s: float | None = None
    stop_mode: StopMode = StopMode.STOP
    ran: bool = False
    detail: str = ""
    version: int = 0
    order_pending: bool = False
    ended_s: float = 0.0

    @property
    def live(self) -> bool:
        """Whether the task may run."""
        return self.state in LIVE_STATES

    def end(self, state: TaskState, now_s: float, detail: str = "") -> None:
        """Record that the task no longer runs."""
        self.state = state
        self.ended_s = now_s
        self.detail = self.detail or detail

    def lease_s(self, now_s: float) -> float:
        """Return how long the platform may run the task without a renewal, in seconds."""
        if self.confirmed_until_s is None:
            return 0.0
        return min(TASK_LEASE_S, self.confirmed_until_s - now_s)

    def confirm(self, until_s: float) -> None:
        """Extend the time until which the gang counts as complete."""
        self.confirmed_until_s = max(until_s, self.confirmed_until_s or until_s)

    def status(self) -> TaskStatus:
        """Return the status that is sent to entries."""
        return TaskStatus(
            job_id=self.platform_task.job_id,
            attempt=self.platform_task.attempt,
            state=self.state,
            accelerators=self.platform_task.accelerators,
            workers=self.platform_task.workers,
            checkpoint=self.platform_task.checkpoint,
            run_s=self.platform_task.run_s,
            detail=self.detail or self.platform_task.detail,
            ran=self.ran,
        )


def create_member(order: ReserveTask, now_s: float) -> GangMember:
    """Create a member with the accelerators that an order reserves."""
    task = PlatformTask(
        task_id=f"{order.job_id}.{order.attempt}",
        state=TaskState.RESERVED,
        accelerators=order.accelerators,
        checkpoint=order.checkpoint,
        command=order.command,
        job_id=order.job_id,
        attempt=order.attempt,
        workers=order.workers,
        token=order.token,
    )
    return GangMember(task, TaskState.RESERVED, now_s + order.lease_s)


def restore_member(task: PlatformTask, now_s: float) -> GangMember:
    """Create a member from a task listed by the platform."""
    member = GangMember(task, task.state, ran=True)
    if task.state in ENDED_STATES:
        member.ended_s = now_s
    return member

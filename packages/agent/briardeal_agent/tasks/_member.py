"""One member of a gang on this worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_agent.workers import PlatformTask
from briardeal_protocol.messages import StopMode, TaskState, TaskStatus

if TYPE_CHECKING:
    from briardeal_protocol.messages import ReserveTask

TASK_LEASE_S = 30.0
"""Longest lease that the platform is given for a task."""

MEMBER_TTL_S = 60.0
"""How long a member runs on after the report on which its gang was last confirmed whole."""

PARTIAL_GANG_LIMIT_S = MEMBER_TTL_S + 2.0
"""Longest time for which a member runs while its gang is not whole."""

START_TTL_S = 20.0
"""How long a member runs before its gang is confirmed for the first time."""

ENDED = {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}
LIVE = {TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING}


@attrs.define(eq=False)
class Member:
    """One member of a gang on this worker.

    Parameters
    ----------
    platform
        The task as the platform was told it, or as the platform last told it.
    state
        Where it stands.
    expires_s
        When the reservation lapses without a start, on the loop's clock.
    confirmed_until_s
        When the task is stopped unless its gang is confirmed; `None` after a restart of the
        agent, when only the platform's own lease is known.
    stop_mode
        How it is being stopped.
    ran
        Whether the platform was ever asked to start it.
    version
        Rises with every order, so that an older list of the platform's tasks is not mistaken for
        a newer one.
    in_call
        Whether an order is on its way to the platform.
    ended_s
        When it ended, on the loop's clock.
    """

    platform: PlatformTask
    state: TaskState
    expires_s: float = 0.0
    confirmed_until_s: float | None = None
    stop_mode: StopMode = StopMode.STOP
    ran: bool = False
    detail: str = ""
    version: int = 0
    in_call: bool = False
    ended_s: float = 0.0

    @property
    def live(self) -> bool:
        """Whether the task may run."""
        return self.state in LIVE

    def end(self, state: TaskState, now_s: float, detail: str = "") -> None:
        """Note that nothing of the task runs any more."""
        self.state = state
        self.ended_s = now_s
        self.detail = self.detail or detail

    def lease_s(self, now_s: float) -> float:
        """Return how long the platform may run the task without a renewal."""
        if self.confirmed_until_s is None:
            return 0.0
        return min(TASK_LEASE_S, self.confirmed_until_s - now_s)

    def confirm(self, until_s: float) -> None:
        """Extend the time for which the gang counts as whole."""
        self.confirmed_until_s = max(until_s, self.confirmed_until_s or until_s)

    def status(self) -> TaskStatus:
        """Return the state as it is told to entries."""
        return TaskStatus(
            job_id=self.platform.job_id,
            attempt=self.platform.attempt,
            state=self.state,
            accelerators=self.platform.accelerators,
            workers=self.platform.workers,
            checkpoint=self.platform.checkpoint,
            run_s=self.platform.run_s,
            detail=self.detail or self.platform.detail,
            ran=self.ran,
        )


def create_member(order: ReserveTask, now_s: float) -> Member:
    """Return a member that holds what an order reserves."""
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
    return Member(task, TaskState.RESERVED, now_s + order.lease_s)


def restore_member(task: PlatformTask, now_s: float) -> Member:
    """Return the member that a task of the platform stands for."""
    member = Member(task, task.state, ran=True)
    if task.state in ENDED:
        member.ended_s = now_s
    return member

"""Reservations and tasks of one worker, guarded by fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_agent.workers import PlatformTask, WorkerDown
from briardeal_protocol.messages import StopMode, TaskState, TaskStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_agent.workers import Worker
    from briardeal_protocol.messages import ReserveTask, StartTask, StopTask

TASK_LEASE_S = 30.0
ENDED = {TaskState.FINISHED, TaskState.FAILED, TaskState.STOPPED, TaskState.REFUSED}


@attrs.define
class Member:
    """One member of a gang on this worker.

    Parameters
    ----------
    order
        The reservation that it came from.
    state
        Where it stands.
    expires_s
        When the reservation lapses without a start, on the loop's clock.
    platform
        The task as the platform last told it.
    """

    order: ReserveTask
    state: TaskState
    expires_s: float
    platform: PlatformTask

    def status(self) -> TaskStatus:
        """Return the state as it is told to entries."""
        return TaskStatus(
            job_id=self.order.job_id,
            attempt=self.order.attempt,
            state=self.state,
            accelerators=self.order.accelerators,
            workers=self.order.workers,
            checkpoint=self.platform.checkpoint,
            run_s=self.platform.run_s,
            detail=self.platform.detail,
        )


class TaskTable:
    """All members on one worker; the only authority for its accelerators.

    Parameters
    ----------
    worker
        The platform's API.
    accelerators
        Accelerators of the worker.
    now_s
        Clock of the loop.

    Attributes
    ----------
    fence
        Highest fencing token seen; orders with a lower one are refused.
    members
        Members by job.
    """

    def __init__(self, worker: Worker, accelerators: int, now_s: Callable[[], float]) -> None:
        self.worker = worker
        self.accelerators = accelerators
        self.now_s = now_s
        self.fence = 0
        self.members: dict[str, Member] = {}

    def inventory(self) -> tuple[TaskStatus, ...]:
        """Return the states of all members."""
        return tuple(member.status() for member in self.members.values())

    def free_accelerators(self) -> int:
        """Return the accelerators that nothing holds."""
        held = [m for m in self.members.values() if m.state not in ENDED]
        return self.accelerators - sum(member.order.accelerators for member in held)

    def reserve(self, order: ReserveTask) -> TaskStatus:
        """Hold accelerators for a member until its start or the end of its lease."""
        refused = self._fence(order)
        if refused is not None:
            return refused
        member = self.members.get(order.job_id)
        if member is not None and member.order.attempt >= order.attempt:
            return member.status()
        if member is not None and member.state not in ENDED:
            return _refuse(order, "an earlier attempt still holds accelerators")
        if self.free_accelerators() < order.accelerators:
            return _refuse(order, "too few free accelerators")
        task = PlatformTask(
            task_id=f"{order.job_id}.{order.attempt}",
            state=TaskState.RESERVED,
            accelerators=order.accelerators,
            checkpoint=order.checkpoint,
            command=order.command,
        )
        member = Member(order, TaskState.RESERVED, self.now_s() + order.lease_s, task)
        self.members[order.job_id] = member
        return member.status()

    async def start(self, order: StartTask) -> TaskStatus:
        """Start a reserved member; a repeated order starts it once."""
        refused = self._fence(order)
        if refused is not None:
            return refused
        member = self._member(order)
        if member is None:
            return _refuse(order, "no reservation")
        if member.state is TaskState.RESERVED and member.expires_s <= self.now_s():
            member.state = TaskState.STOPPED
        if member.state is TaskState.RESERVED:
            member.state = TaskState.RUNNING
            await self.worker.start(member.platform, TASK_LEASE_S)
        return member.status()

    async def stop(self, order: StopTask) -> TaskStatus:
        """Stop a member, or give back its reservation."""
        refused = self._fence(order)
        if refused is not None:
            return refused
        member = self._member(order)
        if member is None:
            return _refuse(order, "no such member")
        if member.state is TaskState.RESERVED:
            member.state = TaskState.STOPPED
        elif member.state is TaskState.RUNNING:
            await self.worker.stop(member.platform.task_id, order.mode)
            if order.mode is not StopMode.THROTTLE:
                member.state = TaskState.STOPPING
        return member.status()

    async def poll(self) -> list[TaskStatus]:
        """Renew leases, lapse old reservations and return the members whose state changed."""
        before = {job_id: member.state for job_id, member in self.members.items()}
        self._lapse_reservations()
        tasks = await self.worker.tasks()
        if not isinstance(tasks, WorkerDown):
            await self._take_platform_states({task.task_id: task for task in tasks})
        changed = [m for job_id, m in self.members.items() if before.get(job_id) is not m.state]
        return [member.status() for member in changed]

    async def _take_platform_states(self, tasks: dict[str, PlatformTask]) -> None:
        for member in list(self.members.values()):
            task = tasks.get(member.platform.task_id)
            if task is None or member.state in ENDED:
                continue
            member.platform = task
            if task.state in ENDED:
                member.state = task.state
            else:
                await self.worker.renew(task.task_id, TASK_LEASE_S)

    def _lapse_reservations(self) -> None:
        for member in self.members.values():
            if member.state is TaskState.RESERVED and member.expires_s <= self.now_s():
                member.state = TaskState.STOPPED

    def _fence(self, order: ReserveTask | StartTask | StopTask) -> TaskStatus | None:
        if order.token < self.fence:
            return _refuse(order, "a newer owner has taken over")
        self.fence = order.token
        return None

    def _member(self, order: StartTask | StopTask) -> Member | None:
        member = self.members.get(order.job_id)
        return member if member is not None and member.order.attempt == order.attempt else None


def _refuse(order: ReserveTask | StartTask | StopTask, detail: str) -> TaskStatus:
    return TaskStatus(
        job_id=order.job_id, attempt=order.attempt, state=TaskState.REFUSED, detail=detail
    )

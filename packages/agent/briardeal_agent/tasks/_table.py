"""Reservations and tasks of one worker, guarded by fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_agent.tasks._member import (
    ENDED,
    START_TTL_S,
    Member,
    create_member,
    restore_member,
)
from briardeal_agent.tasks._platform import settle_member
from briardeal_agent.workers import PlatformTask, WorkerUnavailable
from briardeal_protocol.messages import StopMode, TaskState, TaskStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_agent.workers import Worker
    from briardeal_protocol.messages import ReserveTask, StartTask, StopTask, TakeInventory

ENDED_KEEP_S = 24 * 3600.0
"""How long an ended member is still told to new owners."""


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
        Newest member of each job.
    """

    def __init__(self, worker: Worker, accelerators: int, now_s: Callable[[], float]) -> None:
        self.worker = worker
        self.accelerators = accelerators
        self.now_s = now_s
        self.fence = 0
        self.members: dict[str, Member] = {}
        self._told: dict[str, TaskStatus] = {}

    async def restore(self) -> bool:
        """Rebuild the table from the platform's tasks; return whether the platform answered."""
        tasks = await self.worker.tasks()
        if isinstance(tasks, WorkerUnavailable):
            return False
        for task in sorted(tasks, key=lambda task: task.attempt):
            if task.job_id:
                self.members[task.job_id] = restore_member(task, self.now_s())
                self.fence = max(self.fence, task.token)
        return True

    def inventory(self) -> tuple[TaskStatus, ...]:
        """Return the states of all members."""
        return tuple(member.status() for member in self.members.values())

    def live_names(self) -> tuple[str, ...]:
        """Return the names of all tasks that may run."""
        return tuple(m.platform.task_id for m in self.members.values() if m.live)

    def free_accelerators(self) -> int:
        """Return the accelerators that nothing holds."""
        held = [member for member in self.members.values() if member.state not in ENDED]
        return self.accelerators - sum(member.platform.accelerators for member in held)

    def raise_fence(self, order: TakeInventory) -> tuple[TaskStatus, ...]:
        """Refuse older owners from now on and return the states of all members."""
        self.fence = max(self.fence, order.token)
        return self.inventory()

    def reserve(self, order: ReserveTask) -> TaskStatus:
        """Hold accelerators for a member until its start or the end of its lease."""
        if not self._pass_fence(order):
            return _refuse(order, "a newer owner has taken over")
        member = self.members.get(order.job_id)
        if member is not None and member.platform.attempt >= order.attempt:
            return member.status()
        if member is not None and member.state not in ENDED:
            return _refuse(order, "an earlier attempt still holds accelerators")
        if self.free_accelerators() < order.accelerators:
            return _refuse(order, "too few free accelerators")
        member = create_member(order, self.now_s())
        self.members[order.job_id] = member
        return member.status()

    async def start(self, order: StartTask) -> TaskStatus:
        """Start a reserved member; a repeated order starts it once."""
        if not self._pass_fence(order):
            return _refuse(order, "a newer owner has taken over")
        member = self._find(order)
        if member is None:
            return _refuse(order, "no reservation")
        self._lapse_reservation(member)
        if member.state is TaskState.RESERVED:
            await self._start(member)
        return member.status()

    async def stop(self, order: StopTask) -> TaskStatus:
        """Stop a member, or give back its reservation; an unknown one counts as stopped."""
        if not self._pass_fence(order):
            return _refuse(order, "a newer owner has taken over")
        member = self._find(order)
        if member is None:
            return TaskStatus(job_id=order.job_id, attempt=order.attempt, state=TaskState.STOPPED)
        if member.state is TaskState.RESERVED:
            member.end(TaskState.STOPPED, self.now_s(), "the reservation was given back")
        elif member.live:
            await self._stop(member, order.mode)
        return member.status()

    async def poll(self) -> list[TaskStatus]:
        """Bring table and platform into line and return the members whose state changed."""
        for member in self._all():
            self._lapse_reservation(member)
            await self._stop_unconfirmed(member)
        await self._compare_with_platform()
        self._forget_ended()
        return self._take_news()

    async def _start(self, member: Member) -> None:
        now_s = self.now_s()
        member.state = TaskState.STARTING
        member.ran = True
        member.confirm(now_s + START_TTL_S)
        member.version += 1
        member.in_call = True
        outcome = await self.worker.start(member.platform, member.lease_s(now_s))
        member.in_call = False
        if outcome is None and member.state is TaskState.STARTING:
            member.state = TaskState.RUNNING

    async def _stop(self, member: Member, mode: StopMode) -> None:
        member.version += 1
        if mode is not StopMode.THROTTLE:
            member.state = TaskState.STOPPING
            member.stop_mode = mode
        await self.worker.stop(member.platform.task_id, mode)

    async def _stop_unconfirmed(self, member: Member) -> None:
        until_s = member.confirmed_until_s
        if until_s is None or until_s > self.now_s():
            return
        if member.state in (TaskState.STARTING, TaskState.RUNNING):
            member.detail = "its gang was not confirmed to be whole"
            await self._stop(member, StopMode.STOP)

    async def _compare_with_platform(self) -> None:
        versions = {name: member.version for name, member in self.members.items()}
        listed = await self.worker.tasks()
        if isinstance(listed, WorkerUnavailable):
            return
        tasks = {task.task_id: task for task in listed}
        for job_id, member in list(self.members.items()):
            unchanged = versions.get(job_id) == member.version and not member.in_call
            if unchanged and member.live:
                task = tasks.get(member.platform.task_id)
                await settle_member(self.worker, member, task, self.now_s())
        await self._stop_strays(listed)

    async def _stop_strays(self, listed: list[PlatformTask]) -> None:
        for task in listed:
            member = self.members.get(task.job_id)
            newest = member is not None and member.platform.task_id == task.task_id
            wanted = newest and member.state not in ENDED
            if task.job_id and task.state is TaskState.RUNNING and not wanted:
                await self.worker.stop(task.task_id, StopMode.STOP)

    def _take_news(self) -> list[TaskStatus]:
        told, self._told = self._told, {m.platform.job_id: m.status() for m in self._all()}
        return [s for job_id, s in self._told.items() if _is_news(told.get(job_id), s)]

    def _all(self) -> list[Member]:
        return list(self.members.values())

    def _lapse_reservation(self, member: Member) -> None:
        if member.state is TaskState.RESERVED and member.expires_s <= self.now_s():
            member.end(TaskState.STOPPED, self.now_s(), "the reservation has lapsed")

    def _forget_ended(self) -> None:
        oldest_s = self.now_s() - ENDED_KEEP_S
        for job_id, member in list(self.members.items()):
            if member.state in ENDED and member.ended_s < oldest_s:
                del self.members[job_id]

    def _pass_fence(self, order: ReserveTask | StartTask | StopTask) -> bool:
        if order.token < self.fence:
            return False
        self.fence = order.token
        return True

    def _find(self, order: StartTask | StopTask) -> Member | None:
        member = self.members.get(order.job_id)
        if member is None or member.platform.attempt != order.attempt:
            return None
        return member


def _refuse(order: ReserveTask | StartTask | StopTask, detail: str) -> TaskStatus:
    return TaskStatus(
        job_id=order.job_id, attempt=order.attempt, state=TaskState.REFUSED, detail=detail
    )


def _is_news(before: TaskStatus | None, after: TaskStatus) -> bool:
    return before is None or before != msgspec.structs.replace(after, run_s=before.run_s)

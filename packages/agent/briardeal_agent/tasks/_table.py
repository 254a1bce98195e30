"""Reservations and tasks of one worker, protected by fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_agent.tasks._member import (
    ENDED_STATES,
    START_TTL_S,
    GangMember,
    create_member,
    restore_member,
)
from briardeal_agent.tasks._reconciliation import reconcile_member
from briardeal_agent.workers import PlatformTask, WorkerUnavailable
from briardeal_protocol.messages import StopMode, TaskState, TaskStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_agent.workers import Worker
    from briardeal_protocol.messages import ReserveTask, StartTask, StopTask, TakeInventory

ENDED_RETENTION_S = 24 * 3600.0
"""Time for which an ended member is still reported to new owners, in seconds."""


class TaskTable:
    """All gang members on one worker, and the sole allocator of its accelerators.

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
        Highest fencing token seen; orders with a lower one are rejected.
    members
        Newest member of each job.
    """

    def __init__(self, worker: Worker, accelerators: int, now_s: Callable[[], float]) -> None:
        self.worker = worker
        self.accelerators = accelerators
        self.now_s = now_s
        self.fence = 0
        self.members: dict[str, GangMember] = {}
        self._reported: dict[str, TaskStatus] = {}

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
        """Return the status of each member."""
        return tuple(member.status() for member in self.members.values())

    def live_task_ids(self) -> tuple[str, ...]:
        """Return the IDs of all tasks that may be running."""
        return tuple(
            member.platform_task.task_id for member in self.members.values() if member.live
        )

    def free_accelerators(self) -> int:
        """Return the number of unallocated accelerators."""
        held = [member for member in self.members.values() if member.state not in ENDED_STATES]
        return self.accelerators - sum(member.platform_task.accelerators for member in held)

    def raise_fence(self, order: TakeInventory) -> tuple[TaskStatus, ...]:
        """Reject older owners from now on and return the status of each member."""
        self.fence = max(self.fence, order.token)
        return self.inventory()

    def reserve(self, order: ReserveTask) -> TaskStatus:
        """Reserve accelerators for a member until it starts or the reservation expires."""
        if not self._accept_token(order):
            return _rejected_status(order, "a newer owner has taken over")
        member = self.members.get(order.job_id)
        if member is not None and member.platform_task.attempt >= order.attempt:
            return member.status()
        if member is not None and member.state not in ENDED_STATES:
            return _rejected_status(order, "an earlier attempt still holds accelerators")
        if self.free_accelerators() < order.accelerators:
            return _rejected_status(order, "too few free accelerators")
        member = create_member(order, self.now_s())
        self.members[order.job_id] = member
        return member.status()

    async def start(self, order: StartTask) -> TaskStatus:
        """Start a reserved member; repeating the order has no further effect."""
        if not self._accept_token(order):
            return _rejected_status(order, "a newer owner has taken over")
        member = self._find_member(order)
        if member is None:
            return _rejected_status(order, "no reservation")
        self._expire_reservation(member)
        if member.state is TaskState.RESERVED:
            await self._start(member)
        return member.status()

    async def stop(self, order: StopTask) -> TaskStatus:
        """Stop a member or cancel its reservation; an unknown member counts as stopped."""
        if not self._accept_token(order):
            return _rejected_status(order, "a newer owner has taken over")
        member = self._find_member(order)
        if member is None:
            return TaskStatus(job_id=order.job_id, attempt=order.attempt, state=TaskState.STOPPED)
        if member.state is TaskState.RESERVED:
            member.end(TaskState.STOPPED, self.now_s(), "the reservation was given back")
        elif member.live:
            await self._stop(member, order.mode)
        return member.status()

    async def poll(self) -> list[TaskStatus]:
        """Reconcile the table with the platform and return the status of changed members."""
        for member in self._list_members():
            self._expire_reservation(member)
            await self._stop_unconfirmed(member)
        await self._reconcile_with_platform()
        self._remove_ended()
        return self._collect_changes()

    async def _start(self, member: GangMember) -> None:
        now_s = self.now_s()
        member.state = TaskState.STARTING
        member.ran = True
        member.confirm(now_s + START_TTL_S)
        member.version += 1
        member.order_pending = True
        outcome = await self.worker.start(member.platform_task, member.lease_s(now_s))
        member.order_pending = False
        if outcome is None and member.state is TaskState.STARTING:
            member.state = TaskState.RUNNING

    async def _stop(self, member: GangMember, mode: StopMode) -> None:
        member.version += 1
        if mode is not StopMode.THROTTLE:
            member.state = TaskState.STOPPING
            member.stop_mode = mode
        await self.worker.stop(member.platform_task.task_id, mode)

    async def _stop_unconfirmed(self, member: GangMember) -> None:
        until_s = member.confirmed_until_s
        if until_s is None or until_s > self.now_s():
            return
        if member.state in (TaskState.STARTING, TaskState.RUNNING):
            member.detail = "its gang was not confirmed to be whole"
            await self._stop(member, StopMode.STOP)

    async def _reconcile_with_platform(self) -> None:
        versions = {name: member.version for name, member in self.members.items()}
        listed = await self.worker.tasks()
        if isinstance(listed, WorkerUnavailable):
            return
        tasks = {task.task_id: task for task in listed}
        for job_id, member in list(self.members.items()):
            unchanged = versions.get(job_id) == member.version and not member.order_pending
            if unchanged and member.live:
                task = tasks.get(member.platform_task.task_id)
                await reconcile_member(self.worker, member, task, self.now_s())
        await self._stop_strays(listed)

    async def _stop_strays(self, listed: list[PlatformTask]) -> None:
        for task in listed:
            member = self.members.get(task.job_id)
            is_newest = member is not None and member.platform_task.task_id == task.task_id
            wanted = is_newest and member.state not in ENDED_STATES
            if task.job_id and task.state is TaskState.RUNNING and not wanted:
                await self.worker.stop(task.task_id, StopMode.STOP)

    def _collect_changes(self) -> list[TaskStatus]:
        previous, self._reported = self._reported, {
            member.platform_task.job_id: member.status() for member in self._list_members()
        }
        return [
            status
            for job_id, status in self._reported.items()
            if _has_changed(previous.get(job_id), status)
        ]

    def _list_members(self) -> list[GangMember]:
        return list(self.members.values())

    def _expire_reservation(self, member: GangMember) -> None:
        if member.state is TaskState.RESERVED and member.reservation_expires_s <= self.now_s():
            member.end(TaskState.STOPPED, self.now_s(), "the reservation has lapsed")

    def _remove_ended(self) -> None:
        oldest_s = self.now_s() - ENDED_RETENTION_S
        for job_id, member in list(self.members.items()):
            if member.state in ENDED_STATES and member.ended_s < oldest_s:
                del self.members[job_id]

    def _accept_token(self, order: ReserveTask | StartTask | StopTask) -> bool:
        if order.token < self.fence:
            return False
        self.fence = order.token
        return True

    def _find_member(self, order: StartTask | StopTask) -> GangMember | None:
        member = self.members.get(order.job_id)
        if member is None or member.platform_task.attempt != order.attempt:
            return None
        return member


def _rejected_status(order: ReserveTask | StartTask | StopTask, detail: str) -> TaskStatus:
    return TaskStatus(
        job_id=order.job_id, attempt=order.attempt, state=TaskState.REFUSED, detail=detail
    )


def _has_changed(before: TaskStatus | None, after: TaskStatus) -> bool:
    return before is None or before != msgspec.structs.replace(after, run_s=before.run_s)

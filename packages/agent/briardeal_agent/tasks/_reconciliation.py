"""Reconciliation of a member with the platform's list of tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_agent.tasks._member import ENDED_STATES
from briardeal_protocol.messages import TaskState

if TYPE_CHECKING:
    from briardeal_agent.tasks._member import GangMember
    from briardeal_agent.workers import PlatformTask, Worker

MIN_RENEWAL_S = 1.0
"""Shortest lease, in seconds, with which a task is renewed."""


async def reconcile_member(
    worker: Worker, member: GangMember, task: PlatformTask | None, now_s: float
) -> None:
    """Update a live member from the platform's list, and stop, renew or restart its task as needed.

    Parameters
    ----------
    worker
        The platform's API.
    member
        The member.
    task
        The listed task; `None` if the list does not contain it.
    now_s
        Current time on the loop's clock.
    """
    if task is None:
        await _reconcile_missing(worker, member, now_s)
        return
    member.platform_task = task
    if task.state in ENDED_STATES:
        member.end(task.state, now_s)
    elif member.state is TaskState.STOPPING:
        if task.state is TaskState.RUNNING:
            await worker.stop(task.task_id, member.stop_mode)
    else:
        member.state = TaskState.RUNNING
        await _renew(worker, member, now_s)


async def _reconcile_missing(worker: Worker, member: GangMember, now_s: float) -> None:
    if member.state is TaskState.STARTING:
        member.version += 1
        member.order_pending = True
        await worker.start(member.platform_task, member.lease_s(now_s))
        member.order_pending = False
    else:
        member.end(TaskState.STOPPED, now_s, "the platform no longer knows the task")


async def _renew(worker: Worker, member: GangMember, now_s: float) -> None:
    lease_s = member.lease_s(now_s)
    if lease_s >= MIN_RENEWAL_S:
        await worker.renew(member.platform_task.task_id, lease_s)

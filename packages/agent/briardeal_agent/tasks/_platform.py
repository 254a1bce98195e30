"""Bringing a member into line with what the platform lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_agent.tasks._member import ENDED
from briardeal_protocol.messages import TaskState

if TYPE_CHECKING:
    from briardeal_agent.tasks._member import Member
    from briardeal_agent.workers import PlatformTask, Worker

MIN_RENEWAL_S = 1.0


async def settle_member(
    worker: Worker, member: Member, task: PlatformTask | None, now_s: float
) -> None:
    """Take what a list of the platform says of a live member, and act on it.

    Parameters
    ----------
    worker
        The platform's API.
    member
        The member.
    task
        The task as listed; `None` where the list does not have it.
    now_s
        The time now, on the loop's clock.
    """
    if task is None:
        await _settle_missing(worker, member, now_s)
        return
    member.platform = task
    if task.state in ENDED:
        member.end(task.state, now_s)
    elif member.state is TaskState.STOPPING:
        if task.state is TaskState.RUNNING:
            await worker.stop(task.task_id, member.stop_mode)
    else:
        member.state = TaskState.RUNNING
        await _renew(worker, member, now_s)


async def _settle_missing(worker: Worker, member: Member, now_s: float) -> None:
    if member.state is TaskState.STARTING:
        member.version += 1
        member.in_call = True
        await worker.start(member.platform, member.lease_s(now_s))
        member.in_call = False
    else:
        member.end(TaskState.STOPPED, now_s, "the platform no longer knows the task")


async def _renew(worker: Worker, member: Member, now_s: float) -> None:
    lease_s = member.lease_s(now_s)
    if lease_s >= MIN_RENEWAL_S:
        await worker.renew(member.platform.task_id, lease_s)

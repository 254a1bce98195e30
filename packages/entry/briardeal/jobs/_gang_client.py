"""Orders to the agents of a gang: reserve all members first, then start them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from briardeal_protocol.messages import (
    ReserveTask,
    StartTask,
    StopMode,
    StopTask,
    TakeInventory,
    Tasks,
    TaskState,
)

if TYPE_CHECKING:
    from briardeal.jobs._worker_registry import WorkerAgent, WorkerRegistry
    from briardeal_core.jobs import JobRequest
    from briardeal_protocol.messages import TaskStatus

CALL_TIMEOUT_S = 1.0
RESERVE_LEASE_S = 5.0


@attrs.frozen
class Gang:
    """The tasks of one attempt at a job, which run at the same time.

    Parameters
    ----------
    job
        The job.
    attempt
        Number of the attempt.
    workers
        Worker of each task.
    token
        Fencing token of the owner.
    checkpoints
        Checkpoint from which each task resumes; empty to start from the beginning.
    """

    job: JobRequest
    attempt: int
    workers: tuple[str, ...]
    token: int
    checkpoints: tuple[str, ...] = ()


class GangClient:
    """Sends orders to all agents of a gang in parallel.

    Parameters
    ----------
    registry
        Connected worker agents and their tasks.

    Attributes
    ----------
    messages_sent
        Number of orders sent so far.
    """

    def __init__(self, registry: WorkerRegistry) -> None:
        self.registry = registry
        self.messages_sent = 0

    async def reserve(self, gang: Gang) -> list[str]:
        """Reserve all members and return the workers that did not confirm a reservation."""
        statuses = await asyncio.gather(
            *(self._reserve(gang, index) for index in range(len(gang.workers)))
        )
        return _workers_not_in(gang, statuses, TaskState.RESERVED)

    async def start(self, gang: Gang) -> list[str]:
        """Start all reserved members and return the workers that did not confirm a running task."""
        statuses = await asyncio.gather(*(self._start(gang, worker) for worker in gang.workers))
        return _workers_not_in(gang, statuses, TaskState.RUNNING)

    async def stop(self, gang: Gang, mode: StopMode = StopMode.STOP) -> None:
        """Stop every reachable member that has not ended, or release its reservation."""
        await asyncio.gather(*(self._stop(gang, worker, mode) for worker in gang.workers))

    async def take_inventory(self, agent: WorkerAgent, token: int) -> bool:
        """Raise the fence of an agent and fetch all its tasks; return whether it answered."""
        call_id = agent.entry.link.next_call_id()
        reply = await self._call(
            agent, TakeInventory(call_id=call_id, token=token), is_inventory=True
        )
        return reply is not None

    async def _reserve(self, gang: Gang, index: int) -> TaskStatus | None:
        agent = self.registry.agents.get(gang.workers[index])
        if agent is None:
            return None
        order = ReserveTask(
            call_id=agent.entry.link.next_call_id(),
            token=gang.token,
            job_id=gang.job.job_id,
            attempt=gang.attempt,
            accelerators=gang.job.accelerators_per_task,
            workers=gang.workers,
            command=gang.job.command,
            checkpoint=gang.checkpoints[index] if gang.checkpoints else "",
            lease_s=RESERVE_LEASE_S,
        )
        return await self._send_order(agent, order)

    async def _start(self, gang: Gang, worker: str) -> TaskStatus | None:
        agent = self.registry.agents.get(worker)
        if agent is None:
            return None
        order = StartTask(
            call_id=agent.entry.link.next_call_id(),
            token=gang.token,
            job_id=gang.job.job_id,
            attempt=gang.attempt,
        )
        return await self._send_order(agent, order)

    async def _stop(self, gang: Gang, worker: str, mode: StopMode) -> TaskStatus | None:
        agent = self.registry.agents.get(worker)
        if agent is None:
            return None
        order = StopTask(
            call_id=agent.entry.link.next_call_id(),
            token=gang.token,
            job_id=gang.job.job_id,
            attempt=gang.attempt,
            mode=mode,
        )
        return await self._send_order(agent, order)

    async def _send_order(
        self, agent: WorkerAgent, order: ReserveTask | StartTask | StopTask
    ) -> TaskStatus | None:
        reply = await self._call(agent, order)
        return reply.tasks[0] if reply is not None and reply.tasks else None

    async def _call(
        self,
        agent: WorkerAgent,
        order: ReserveTask | StartTask | StopTask | TakeInventory,
        is_inventory: bool = False,
    ) -> Tasks | None:
        self.messages_sent += 1
        reply = await agent.entry.link.call(order, CALL_TIMEOUT_S)
        if not isinstance(reply, Tasks):
            return None
        accepted = [status for status in reply.tasks if status.state is not TaskState.REFUSED]
        self.registry.update_tasks(agent.entry, accepted, is_inventory)
        return reply


def _workers_not_in(gang: Gang, statuses: list[TaskStatus | None], state: TaskState) -> list[str]:
    pairs = zip(gang.workers, statuses, strict=True)
    return [worker for worker, status in pairs if status is None or status.state is not state]

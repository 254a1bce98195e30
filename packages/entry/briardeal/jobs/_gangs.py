"""Start of gangs on agents: reserve every member, then start all."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briardeal_protocol.messages import ReserveTask, StartTask, StopTask, Tasks, TaskState

if TYPE_CHECKING:
    from briardeal.membership import AgentEntry, AgentTable
    from briardeal_core.jobs import JobRequest
    from briardeal_protocol.messages import TaskStatus

CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class GangStarted:
    """Every member runs."""


@dataclass(frozen=True)
class GangNotStarted:
    """No member runs.

    Parameters
    ----------
    detail
        What stood in the way.
    """

    detail: str


@dataclass(frozen=True)
class GangInDoubt:
    """Some members may run; the agents' reports will tell."""


class Gangs:
    """Orders to the agents of gangs.

    Parameters
    ----------
    table
        Agents that are alive.
    """

    def __init__(self, table: AgentTable) -> None:
        self.table = table

    async def start(
        self, job: JobRequest, attempt: int, workers: tuple[str, ...], token: int
    ) -> GangStarted | GangNotStarted | GangInDoubt:
        """Reserve every member and start them only when all are reserved."""
        agents = [self.table.agents.get(worker) for worker in workers]
        if None in agents:
            return GangNotStarted("a worker is out of reach")
        reserved = await asyncio.gather(
            *(self._reserve(agent, job, attempt, workers, token) for agent in agents)
        )
        if any(status is None or status.state is not TaskState.RESERVED for status in reserved):
            await self._give_back(agents, job.job_id, attempt, token)
            return GangNotStarted("not every member could be reserved")
        started = await asyncio.gather(
            *(self._start(agent, job.job_id, attempt, token) for agent in agents)
        )
        if all(status is not None and status.state is TaskState.RUNNING for status in started):
            return GangStarted()
        await self._give_back(agents, job.job_id, attempt, token)
        return GangInDoubt()

    async def _reserve(
        self,
        agent: AgentEntry,
        job: JobRequest,
        attempt: int,
        workers: tuple[str, ...],
        token: int,
    ) -> TaskStatus | None:
        order = ReserveTask(
            call_id=agent.link.next_call_id(),
            token=token,
            job_id=job.job_id,
            attempt=attempt,
            accelerators=job.accelerators_per_task,
            workers=workers,
            command=job.command,
        )
        return await _call(agent, order)

    async def _start(
        self, agent: AgentEntry, job_id: str, attempt: int, token: int
    ) -> TaskStatus | None:
        call_id = agent.link.next_call_id()
        return await _call(
            agent, StartTask(call_id=call_id, token=token, job_id=job_id, attempt=attempt)
        )

    async def _give_back(
        self, agents: list[AgentEntry], job_id: str, attempt: int, token: int
    ) -> None:
        orders = [
            StopTask(call_id=agent.link.next_call_id(), token=token, job_id=job_id, attempt=attempt)
            for agent in agents
        ]
        await asyncio.gather(*map(_call, agents, orders))


async def _call(agent: AgentEntry, order: ReserveTask | StartTask | StopTask) -> TaskStatus | None:
    reply = await agent.link.call(order, CALL_TIMEOUT_S)
    return reply.tasks[0] if isinstance(reply, Tasks) else None

"""What a new owner does before it decides anything."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal.jobs._attempt import RESTART_WAIT_S
from briardeal.jobs._records import OwnerStarted
from briardeal_core.clock import loop_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.jobs._attempt import AttemptContext
    from briardeal.jobs._job_table import JobTable
    from briardeal.jobs.ownership import Ownership

LIST_WAIT_S = 5.0
"""How long a new owner waits for agents where all earlier decisions stand in the log."""

POLL_S = 0.1


async def take_over(
    ownership: Ownership, job_table: JobTable, context: AttemptContext, holds: Callable[[], bool]
) -> bool:
    """Learn what was decided before and what runs; return whether the region is still ours.

    Parameters
    ----------
    ownership
        Tells what the earlier owner left.
    job_table
        All jobs as the log tells them.
    context
        Agents in reach and records on their way to the log.
    holds
        Returns whether this entry still owns the region.
    """
    token = ownership.token
    context.outbox.add(OwnerStarted(region=ownership.region, token=token))
    while holds() and job_table.tokens.get(ownership.region, 0) < token:
        await asyncio.sleep(POLL_S)
    predecessor = ownership.owners.predecessor
    workers = predecessor.workers if predecessor is not None else 0
    longest_s = RESTART_WAIT_S if ownership.took_over_blind() else LIST_WAIT_S
    await _fence_agents(context, token, workers, longest_s, holds)
    return holds()


async def _fence_agents(
    context: AttemptContext, token: int, workers: int, longest_s: float, holds: Callable[[], bool]
) -> None:
    """Raise the fence of every agent, until enough of them have told their tasks."""
    until_s = loop_time() + longest_s
    fenced: set[object] = set()
    while holds() and loop_time() < until_s:
        agents = [agent for agent in context.members.agents.values() if agent not in fenced]
        if not agents and context.members.count_listed() >= workers:
            return
        answers = await asyncio.gather(
            *(context.gang_client.take_inventory(agent, token) for agent in agents)
        )
        fenced.update(agent for agent, told in zip(agents, answers, strict=True) if told)
        await asyncio.sleep(POLL_S)

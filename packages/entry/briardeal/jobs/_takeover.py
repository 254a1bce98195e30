"""Steps of a new owner before it makes its first decision."""

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

INVENTORY_WAIT_S = 5.0
"""How long a new owner waits for inventories of agents if all earlier decisions are in the log."""

POLL_S = 0.1


async def take_over(
    ownership: Ownership,
    job_table: JobTable,
    context: AttemptContext,
    still_owns: Callable[[], bool],
) -> bool:
    """Read all earlier decisions and fetch all tasks; return whether this entry is still the owner.

    Parameters
    ----------
    ownership
        The claim of this entry, and the state of its predecessor.
    job_table
        State of all jobs, read from the log.
    context
        Connected agents and records to be written.
    still_owns
        Returns whether this entry still owns the region.
    """
    token = ownership.token
    context.record_queue.add(OwnerStarted(region=ownership.region, token=token))
    while still_owns() and job_table.tokens.get(ownership.region, 0) < token:
        await asyncio.sleep(POLL_S)
    predecessor = ownership.owners.predecessor
    workers = predecessor.workers if predecessor is not None else 0
    timeout_s = RESTART_WAIT_S if ownership.may_have_unrecorded_starts() else INVENTORY_WAIT_S
    await _fence_agents(context, token, workers, timeout_s, still_owns)
    return still_owns()


async def _fence_agents(
    context: AttemptContext,
    token: int,
    workers: int,
    timeout_s: float,
    still_owns: Callable[[], bool],
) -> None:
    """Raise the fence of every agent until enough of them have reported all their tasks."""
    until_s = loop_time() + timeout_s
    fenced: set[object] = set()
    while still_owns() and loop_time() < until_s:
        agents = [agent for agent in context.registry.agents.values() if agent not in fenced]
        if not agents and context.registry.count_complete_inventories() >= workers:
            return
        answers = await asyncio.gather(
            *(context.gang_client.take_inventory(agent, token) for agent in agents)
        )
        fenced.update(agent for agent, answered in zip(agents, answers, strict=True) if answered)
        await asyncio.sleep(POLL_S)

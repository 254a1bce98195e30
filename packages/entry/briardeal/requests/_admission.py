"""Slots of endpoints, asked of their agents and given back."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import Admit, Admitted, NotAdmitted, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.requests._request import Request

ADMIT_TIMEOUT_S = 0.5
"""Time for an agent to answer."""

RELEASE_RETRY_S = 0.2


@attrs.frozen
class Permit:
    """A slot that is held for one request.

    Parameters
    ----------
    agent
        Agent that granted it.
    number
        Number of the slot.
    permit_id
        Name by which the endpoint reports it.
    incarnation
        Incarnation of the endpoint.
    start_by_s
        Until when the request may be sent, on the loop's clock.
    """

    agent: AgentEntry
    number: int
    permit_id: str
    incarnation: int
    start_by_s: float


class AdmissionClient:
    """Asks agents for slots and gives them back.

    Parameters
    ----------
    entry_id, incarnation
        This entry.
    table
        Agents that are alive.
    now_s
        Clock of the loop.
    """

    def __init__(
        self, entry_id: str, incarnation: int, table: AgentTable, now_s: Callable[[], float]
    ) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.table = table
        self.now_s = now_s
        self.numbers = itertools.count(1)
        self.releases: set[asyncio.Task[None]] = set()

    async def admit(self, agent: AgentEntry, request: Request, share: float) -> Permit | Refusal:
        """Ask for a slot.

        Where no answer comes, the slot is given back, so that one that was granted all the same
        is free again.
        """
        asked_s = self.now_s()
        number = next(self.numbers)
        call = self._call(agent, number, request, share)
        timeout_s = min(ADMIT_TIMEOUT_S, call.deadline_s)
        try:
            reply = await agent.link.call(call, timeout_s)
        except asyncio.CancelledError:
            self._post(Release(permit=number, started=False), agent, request.deadline_s)
            raise
        if isinstance(reply, Admitted):
            agent.record_load(reply.slots_in_use - 1, self.now_s())
            agent.own_in_use += 1
            start_by_s = asked_s + reply.start_within_s
            return Permit(agent, number, self._permit_id(number), call.incarnation, start_by_s)
        if isinstance(reply, NotAdmitted):
            agent.record_load(reply.slots_in_use, self.now_s())
            run_state = RunState.UNKNOWN if reply.ran else RunState.NOT_RUN
            return Refusal(_reason(reply.reason), run_state)
        if timeout_s == ADMIT_TIMEOUT_S:
            agent.last_unanswered_s = self.now_s()
        self._post(Release(permit=number, started=False), agent, request.deadline_s)
        return Refusal(Reason.AGENT_SILENT, RunState.NOT_RUN)

    def release(self, permit: Permit, request: Request, *, started: bool, finished: bool) -> None:
        """Give back a slot, without holding up the caller."""
        permit.agent.own_in_use -= 1
        release = Release(permit=permit.number, started=started, finished=finished)
        self._post(release, permit.agent, request.deadline_s)

    async def wait_for_releases(self, timeout_s: float) -> None:
        """Wait until every slot was given back, at most `timeout_s` seconds."""
        if self.releases:
            await asyncio.wait(self.releases, timeout=timeout_s)

    def _call(self, agent: AgentEntry, number: int, request: Request, share: float) -> Admit:
        return Admit(
            call_id=agent.link.next_call_id(),
            incarnation=agent.endpoint.incarnation,
            deadline_s=round(max(0.0, request.deadline_s - self.now_s()), 3),
            permit=number,
            key=request.key if not request.idempotent else "",
            customer=request.customer,
            share=share,
        )

    def _permit_id(self, number: int) -> str:
        return f"{self.entry_id}/{self.incarnation}/{number}"

    def _post(self, release: Release, agent: AgentEntry, until_s: float) -> None:
        task = asyncio.create_task(self._deliver(release, agent, until_s))
        self.releases.add(task)
        task.add_done_callback(self.releases.discard)

    async def _deliver(self, release: Release, agent: AgentEntry, until_s: float) -> None:
        """Send a release, over the agent's next connection where this one has ended."""
        sent = await agent.link.connection.send(release)
        while sent is not None and self.now_s() < until_s:
            await asyncio.sleep(RELEASE_RETRY_S)
            known = self.table.agents.get(agent.agent_id)
            if known is not None and known.hello.incarnation == agent.hello.incarnation:
                sent = await known.link.connection.send(release)


def _reason(code: str) -> Reason:
    try:
        return Reason[code.upper()]
    except KeyError:
        return Reason.NO_ENDPOINT

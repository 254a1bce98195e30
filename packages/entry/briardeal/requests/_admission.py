"""Slots of endpoints, requested from their agents and released after use."""

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
"""Time within which an agent must answer a request for a slot, in seconds."""

RELEASE_RETRY_S = 0.2


@attrs.frozen
class Permit:
    """A slot that an agent reserved for one request.

    Parameters
    ----------
    agent
        Agent that granted the slot.
    number
        Number of the permit, unique within this incarnation of the entry.
    permit_id
        Identifier that the endpoint receives with the request and reports to its agent.
    incarnation
        Incarnation of the endpoint.
    start_by_s
        Time before which the request must be sent, on the event loop's clock.
    """

    agent: AgentEntry
    number: int
    permit_id: str
    incarnation: int
    start_by_s: float


class AdmissionClient:
    """Requests slots from agents and releases them.

    Parameters
    ----------
    entry_id, incarnation
        Identifier and incarnation of this entry.
    table
        Agents whose lease has not expired.
    now_s
        Returns the event loop's time in seconds.
    """

    def __init__(
        self, entry_id: str, incarnation: int, table: AgentTable, now_s: Callable[[], float]
    ) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.table = table
        self.now_s = now_s
        self.permit_numbers = itertools.count(1)
        self.pending_releases: set[asyncio.Task[None]] = set()

    async def admit(self, agent: AgentEntry, request: Request, share: float) -> Permit | Refusal:
        """Request a slot from an agent.

        If no answer arrives, the slot is released, because the agent may have granted it.
        """
        requested_at_s = self.now_s()
        number = next(self.permit_numbers)
        call = self._build_call(agent, number, request, share)
        timeout_s = min(ADMIT_TIMEOUT_S, call.deadline_s)
        try:
            reply = await agent.link.call(call, timeout_s)
        except asyncio.CancelledError:
            self._schedule_release(Release(permit=number, started=False), agent, request.deadline_s)
            raise
        if isinstance(reply, Admitted):
            agent.record_load(reply.slots_in_use - 1, self.now_s())
            agent.own_in_use += 1
            start_by_s = requested_at_s + reply.start_within_s
            return Permit(agent, number, self._permit_id(number), call.incarnation, start_by_s)
        if isinstance(reply, NotAdmitted):
            agent.record_load(reply.slots_in_use, self.now_s())
            run_state = RunState.UNKNOWN if reply.ran else RunState.NOT_RUN
            return Refusal(_parse_reason(reply.reason), run_state)
        if timeout_s == ADMIT_TIMEOUT_S:
            agent.last_unanswered_s = self.now_s()
        self._schedule_release(Release(permit=number, started=False), agent, request.deadline_s)
        return Refusal(Reason.AGENT_SILENT, RunState.NOT_RUN)

    def release(self, permit: Permit, request: Request, *, started: bool, finished: bool) -> None:
        """Release a slot in the background."""
        permit.agent.own_in_use -= 1
        release = Release(permit=permit.number, started=started, finished=finished)
        self._schedule_release(release, permit.agent, request.deadline_s)

    async def wait_for_releases(self, timeout_s: float) -> None:
        """Wait until all pending releases are sent, at most `timeout_s` seconds."""
        if self.pending_releases:
            await asyncio.wait(self.pending_releases, timeout=timeout_s)

    def _build_call(self, agent: AgentEntry, number: int, request: Request, share: float) -> Admit:
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

    def _schedule_release(self, release: Release, agent: AgentEntry, deadline_s: float) -> None:
        task = asyncio.create_task(self._send_release(release, agent, deadline_s))
        self.pending_releases.add(task)
        task.add_done_callback(self.pending_releases.discard)

    async def _send_release(self, release: Release, agent: AgentEntry, deadline_s: float) -> None:
        """Send a release, retrying over the agent's next connection if this one is closed."""
        sent = await agent.link.connection.send(release)
        while sent is not None and self.now_s() < deadline_s:
            await asyncio.sleep(RELEASE_RETRY_S)
            known = self.table.agents.get(agent.agent_id)
            if known is not None and known.hello.incarnation == agent.hello.incarnation:
                sent = await known.link.connection.send(release)


def _parse_reason(code: str) -> Reason:
    try:
        return Reason[code.upper()]
    except KeyError:
        return Reason.NO_ENDPOINT

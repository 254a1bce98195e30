"""Choice of an endpoint for each request, and what follows when it fails."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal.requests._endpoint import NotSent, SentInVain
from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import Admit, Admitted, NotAdmitted, Release

if TYPE_CHECKING:
    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.requests._endpoint import EndpointClient
    from briardeal.requests._request import Request
    from briardeal_core.metrics import Metrics

ADMIT_TIMEOUT_S = 1.0
BUSY_RETRY_S = 1.0


class Router:
    """Carries requests to endpoints.

    Parameters
    ----------
    table
        Agents that are alive.
    client
        Sends requests to endpoints.
    metrics
        Counts refusals and retries.
    """

    def __init__(self, table: AgentTable, client: EndpointClient, metrics: Metrics) -> None:
        self.table = table
        self.client = client
        self.metrics = metrics
        self.in_flight: dict[str, int] = {}

    async def route(self, request: Request) -> Answer | Refusal:
        """Return the whole answer to a request, or why there is none."""
        tried: set[str] = set()
        refusal = Refusal(Reason.NO_ENDPOINT, RunState.NOT_RUN, BUSY_RETRY_S)
        while (agent := self._choose(request, tried)) is not None:
            tried.add(agent.agent_id)
            outcome = await self._try(agent, request)
            if isinstance(outcome, Answer) or not _may_retry(request, outcome):
                return outcome
            refusal = outcome
            self.metrics.count_retry(outcome.reason)
        return refusal

    def _choose(self, request: Request, tried: set[str]) -> AgentEntry | None:
        agents = [a for a in self.table.endpoints(request.service) if a.agent_id not in tried]
        return min(agents, key=lambda agent: self.in_flight.get(agent.agent_id, 0), default=None)

    async def _try(self, agent: AgentEntry, request: Request) -> Answer | Refusal:
        admit = self._admission(agent, request)
        reply = await agent.link.call(admit, ADMIT_TIMEOUT_S)
        if not isinstance(reply, Admitted):
            return _not_admitted(reply)
        self.in_flight[agent.agent_id] = self.in_flight.get(agent.agent_id, 0) + 1
        try:
            outcome = await self._send(agent, request)
        finally:
            self.in_flight[agent.agent_id] -= 1
        started = not isinstance(outcome, NotSent)
        await agent.link.connection.send(Release(call_id=admit.call_id, started=started))
        return _to_refusal(outcome)

    async def _send(self, agent: AgentEntry, request: Request) -> Answer | NotSent | SentInVain:
        left_s = request.deadline_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            return NotSent("the deadline has passed")
        return await self.client.send(agent.endpoint.address, request, left_s)

    def _admission(self, agent: AgentEntry, request: Request) -> Admit:
        left_s = max(0.0, request.deadline_s - asyncio.get_running_loop().time())
        return Admit(
            call_id=agent.link.next_call_id(),
            key=request.key,
            incarnation=agent.endpoint.incarnation,
            deadline_s=left_s,
            customer=request.customer,
        )


def _not_admitted(reply: object) -> Refusal:
    if isinstance(reply, NotAdmitted):
        run_state = RunState.UNKNOWN if reply.ran else RunState.NOT_RUN
        return Refusal(Reason[reply.reason.upper()], run_state, BUSY_RETRY_S)
    return Refusal(Reason.NO_ENDPOINT, RunState.NOT_RUN, BUSY_RETRY_S)


def _to_refusal(outcome: Answer | NotSent | SentInVain) -> Answer | Refusal:
    if isinstance(outcome, NotSent):
        return Refusal(Reason.ENDPOINT_FAILED, RunState.NOT_RUN, BUSY_RETRY_S, outcome.detail)
    if isinstance(outcome, SentInVain):
        reason = Reason.ANSWER_CUT if outcome.cut else Reason.ENDPOINT_FAILED
        return Refusal(reason, RunState.UNKNOWN, None, outcome.detail)
    return outcome


def _may_retry(request: Request, refusal: Refusal) -> bool:
    return request.idempotent or refusal.run_state is RunState.NOT_RUN

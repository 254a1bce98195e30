"""Search for an endpoint with a free slot for a request."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import attrs

from briardeal.requests._admission import Permit
from briardeal.requests._chooser import endpoint_name
from briardeal.requests._queues import WAIT_MAX_S, WaitTooLong
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    import random

    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.requests._admission import AdmissionClient
    from briardeal.requests._attempts import Attempts
    from briardeal.requests._chooser import EndpointChooser
    from briardeal.requests._endpoint_health import EndpointHealth
    from briardeal.requests._queues import RequestQueue, RequestQueues, Waiter
    from briardeal.requests._request import Request
    from briardeal_core.metrics import Metrics

AGENTS_ASKED_MAX = 4
"""Most agents that are asked one after another before the request waits."""

WAIT_MIN_S = 0.001
POLL_MIN_S = 0.05
POLL_MAX_S = 0.4
"""Limits of the time between two searches while a request waits, before jitter, in seconds."""

NO_ENDPOINT_RETRY_AFTER_S = 1.0
ASK_ANOTHER_AGENT_REASONS = {
    Reason.AGENT_SILENT,
    Reason.NO_ENDPOINT,
    Reason.ENDPOINT_LEAVING,
    Reason.ENDPOINT_REPLACED,
    Reason.ENDPOINTS_BUSY,
}
"""Reasons for a refusal after which another agent is asked."""


@attrs.define
class SlotFinder:
    """Finds endpoints with free slots for requests.

    Parameters
    ----------
    table
        Agents whose lease has not expired.
    admissions
        Requests slots from agents.
    queues
        Requests that wait for a slot.
    health
        Failure rates and ejections of endpoints.
    chooser
        Chooses the endpoint whose agent is asked next.
    metrics
        Counts the refusals after which another agent is asked, by reason.
    rng
        Random number generator for jitter.
    """

    table: AgentTable
    admissions: AdmissionClient
    queues: RequestQueues
    health: EndpointHealth
    chooser: EndpointChooser
    metrics: Metrics
    rng: random.Random

    async def find(self, attempts: Attempts, queue: RequestQueue) -> Permit | Refusal:
        """Return a permit for a slot; wait in the queue while all slots are in use."""
        if not queue.waiters:
            outcome = await self._ask_agents(attempts, queue)
            if isinstance(outcome, Permit) or outcome.reason is not Reason.ENDPOINTS_BUSY:
                return outcome
        remaining_s = attempts.request.deadline_s - self.table.now_s()
        waiter = self.queues.enqueue(queue, remaining_s)
        if isinstance(waiter, WaitTooLong):
            return Refusal(Reason.ENDPOINTS_BUSY, RunState.NOT_RUN, waiter.retry_after_s)
        try:
            return await self._wait_for_slot(attempts, waiter)
        finally:
            self.queues.dequeue(waiter)

    async def _wait_for_slot(self, attempts: Attempts, waiter: Waiter) -> Permit | Refusal:
        wait_until_s = min(attempts.request.deadline_s, self.table.now_s() + WAIT_MAX_S)
        poll_s = POLL_MIN_S
        while (remaining_s := wait_until_s - self.table.now_s()) > WAIT_MIN_S:
            await waiter.wait(min(remaining_s, poll_s * self.rng.uniform(0.75, 1.25)))
            poll_s = min(2 * poll_s, POLL_MAX_S)
            if not waiter.is_first:
                continue
            outcome = await self._ask_agents(attempts, waiter.queue)
            if isinstance(outcome, Permit) or outcome.reason is not Reason.ENDPOINTS_BUSY:
                return outcome
        if attempts.request.deadline_s - self.table.now_s() <= WAIT_MIN_S:
            return Refusal(Reason.DEADLINE_PASSED, RunState.NOT_RUN)
        retry_after_s = self.queues.retry_after_s(waiter.queue)
        return Refusal(Reason.ENDPOINTS_BUSY, RunState.NOT_RUN, retry_after_s)

    async def _ask_agents(self, attempts: Attempts, queue: RequestQueue) -> Permit | Refusal:
        asked_agent_ids: set[str] = set()
        refusal = Refusal(Reason.NO_ENDPOINT, RunState.NOT_RUN, NO_ENDPOINT_RETRY_AFTER_S)
        for _ in range(AGENTS_ASKED_MAX):
            if self.table.now_s() >= attempts.request.deadline_s:
                return Refusal(Reason.DEADLINE_PASSED, RunState.NOT_RUN)
            agent = self._choose_agent(attempts, asked_agent_ids)
            if agent is None:
                break
            asked_agent_ids.add(agent.agent_id)
            outcome = await self._request_permit(agent, attempts.request, queue)
            if isinstance(outcome, Permit) or outcome.reason not in ASK_ANOTHER_AGENT_REASONS:
                return outcome
            self.metrics.count_retry(outcome.reason)
            if refusal.reason is not Reason.ENDPOINTS_BUSY:
                refusal = outcome
        return replace(refusal, retry_after_s=NO_ENDPOINT_RETRY_AFTER_S)

    async def _request_permit(
        self, agent: AgentEntry, request: Request, queue: RequestQueue
    ) -> Permit | Refusal:
        name = endpoint_name(agent)
        self.health.begin_request(name)
        outcome = await self.admissions.admit(agent, request, queue.share)
        if isinstance(outcome, Refusal):
            self.health.cancel_request(name)
        return outcome

    def _choose_agent(self, attempts: Attempts, asked_agent_ids: set[str]) -> AgentEntry | None:
        request = attempts.request
        agents = [
            a for a in self.table.endpoints(request.service) if a.agent_id not in asked_agent_ids
        ]
        responsive = [agent for agent in agents if agent.is_responsive]
        untried = [agent for agent in responsive if agent.agent_id not in attempts.failed_agent_ids]
        return self.chooser.choose(untried or responsive or agents, request.idempotent)

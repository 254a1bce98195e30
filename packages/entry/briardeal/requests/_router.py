"""Routing of requests to endpoints, with retries."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briardeal.requests._attempts import Attempts
from briardeal.requests._chooser import RegionalChooser, endpoint_name
from briardeal.requests._endpoint import Dispatch, NoCompleteAnswer, NotRun
from briardeal.requests._endpoint_health import EndpointHealth
from briardeal.requests._queues import RequestQueues
from briardeal.requests._request import Answer
from briardeal.requests._retry_budget import RetryBudget
from briardeal.requests._slot_finder import SlotFinder
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.requests._admission import AdmissionClient, Permit
    from briardeal.requests._endpoint import EndpointClient
    from briardeal.requests._request import Request
    from briardeal_core.configuration import Configuration
    from briardeal_core.metrics import Metrics

BACKOFF_MIN_S = 0.025
BACKOFF_MAX_S = 1.0
"""Limits of the upper bound of the random delay before a retry, in seconds."""

BUDGET_RETRY_AFTER_S = 1.0


class Router:
    """Sends requests to endpoints and retries those that fail.

    Parameters
    ----------
    table
        Agents whose lease has not expired.
    client
        Sends requests to endpoints.
    metrics
        Counts refusals and retries.
    admissions
        Requests slots from agents.
    region
        Region of this entry.
    rng
        Random number generator.

    Attributes
    ----------
    health
        Failure rates and ejections of endpoints.
    slot_finder
        Finds slots for requests.
    """

    def __init__(
        self,
        table: AgentTable,
        client: EndpointClient,
        metrics: Metrics,
        admissions: AdmissionClient,
        region: str,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table
        self.client = client
        self.metrics = metrics
        self.admissions = admissions
        self.region = region
        self.rng = rng or random.Random()
        self.health = EndpointHealth(table.now_s, self.rng)
        self.queues = RequestQueues(table.now_s)
        chooser = RegionalChooser(region, self.health, self.rng)
        self.slot_finder = SlotFinder(
            table, admissions, self.queues, self.health, chooser, metrics, self.rng
        )
        self.budget = RetryBudget()
        self.shares: dict[str, float] = {}
        self.cross_region_bytes = metrics.counter(
            "briardeal_request_cross_region_bytes_total",
            "Bytes of requests and answers between this entry and endpoints of other regions.",
        )

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the guaranteed shares of customers."""
        self.shares = {c.name: c.request_share for c in configuration.customers}

    async def route(self, request: Request) -> Answer | Refusal:
        """Return the complete answer to a request, or a refusal that says why there is none."""
        self.budget.add_request()
        attempts = Attempts(request)
        while True:
            outcome = await self._run_attempt(attempts)
            attempts.outcomes.append(outcome)
            if not attempts.may_retry():
                return attempts.final_outcome()
            backoff_s = self._backoff_s(len(attempts.outcomes))
            if self.table.now_s() + backoff_s >= request.deadline_s:
                return attempts.final_outcome()
            if not self.budget.consume_retry():
                return self._refuse_retry(attempts)
            self._count_retry(request, outcome)
            await asyncio.sleep(backoff_s)

    def remove_idle(self) -> None:
        """Remove the queues and endpoint records that were not used recently."""
        self.queues.remove_idle()
        self.health.remove_idle()

    async def _run_attempt(self, attempts: Attempts) -> Answer | Refusal:
        request = attempts.request
        queue = self.queues.find_or_add(
            request.service, request.customer, self.shares.get(request.customer, 0.0)
        )
        permit = await self.slot_finder.find(attempts, queue)
        if isinstance(permit, Refusal):
            return permit
        self.queues.count_slot_taken(queue)
        try:
            outcome = await self._send(permit, request)
        finally:
            self.queues.count_slot_freed(queue, request.service)
        if isinstance(outcome, NoCompleteAnswer) or (
            isinstance(outcome, Answer) and outcome.failed
        ):
            attempts.failed_agent_ids.add(permit.agent.agent_id)
        return _to_result(outcome, request, self.table.now_s())

    async def _send(self, permit: Permit, request: Request) -> Answer | NotRun | NoCompleteAnswer:
        name = f"{permit.agent.agent_id}/{permit.incarnation}"
        outcome: Answer | NotRun | NoCompleteAnswer = NoCompleteAnswer("the request was cancelled")
        try:
            outcome = await self._dispatch(permit, request)
        finally:
            self.admissions.release(
                permit,
                request,
                started=not isinstance(outcome, NotRun),
                finished=not isinstance(outcome, NoCompleteAnswer),
            )
        self._count_bytes(permit.agent, request, outcome)
        if isinstance(outcome, NotRun) and (outcome.late or outcome.declined):
            self.health.cancel_request(name)
            return outcome
        failed = not isinstance(outcome, Answer) or outcome.failed
        peers = [endpoint_name(agent) for agent in self.table.endpoints(request.service)]
        if self.health.record_outcome(name, failed, peers):
            log_event(Event.ENDPOINT_EJECTED, agent=permit.agent.agent_id)
        return outcome

    async def _dispatch(
        self, permit: Permit, request: Request
    ) -> Answer | NotRun | NoCompleteAnswer:
        if self.table.now_s() >= min(permit.start_by_s, request.deadline_s):
            return NotRun("it was too late to send the request", late=True)
        endpoint = permit.agent.endpoint
        if endpoint is None or endpoint.incarnation != permit.incarnation:
            return NotRun("the endpoint was replaced", declined=True)
        dispatch = Dispatch(
            address=endpoint.address,
            incarnation=permit.incarnation,
            permit_id=permit.permit_id,
            request=request,
            start_by_s=permit.start_by_s,
        )
        return await self.client.send(dispatch)

    def _count_bytes(
        self, agent: AgentEntry, request: Request, outcome: Answer | NotRun | NoCompleteAnswer
    ) -> None:
        if agent.hello.region == self.region or isinstance(outcome, NotRun):
            return
        answered = len(outcome.body) if isinstance(outcome, Answer) else 0
        self.cross_region_bytes.add({"region": agent.hello.region}, len(request.body) + answered)

    def _backoff_s(self, attempts: int) -> float:
        backoff_limit_s = min(BACKOFF_MIN_S * 2**attempts, BACKOFF_MAX_S)
        return self.rng.uniform(0, backoff_limit_s)

    def _refuse_retry(self, attempts: Attempts) -> Answer | Refusal:
        final_outcome = attempts.final_outcome()
        if isinstance(final_outcome, Answer):
            return final_outcome
        detail = f"Outcome of the last attempt: {final_outcome.sentence}"
        return Refusal(
            Reason.RETRY_BUDGET_SPENT, final_outcome.run_state, BUDGET_RETRY_AFTER_S, detail
        )

    def _count_retry(self, request: Request, outcome: Answer | Refusal) -> None:
        reason = Reason.ENDPOINT_FAILED if isinstance(outcome, Answer) else outcome.reason
        self.metrics.count_retry(reason)
        log_event(Event.REQUEST_RETRIED, reason=reason.code, service=request.service)


def _to_result(
    outcome: Answer | NotRun | NoCompleteAnswer, request: Request, now_s: float
) -> Answer | Refusal:
    if isinstance(outcome, Answer):
        return outcome
    state = RunState.NOT_RUN if isinstance(outcome, NotRun) else RunState.UNKNOWN
    if now_s >= request.deadline_s:
        return Refusal(Reason.DEADLINE_PASSED, state)
    return Refusal(_failure_reason(outcome), state, detail=f"{outcome.detail}.")


def _failure_reason(outcome: NotRun | NoCompleteAnswer) -> Reason:
    if isinstance(outcome, NoCompleteAnswer):
        return Reason.ANSWER_CUT if outcome.cut else Reason.ENDPOINT_FAILED
    if outcome.late:
        return Reason.ENTRY_DELAYED
    return Reason.ENDPOINT_DECLINED if outcome.declined else Reason.ENDPOINT_FAILED

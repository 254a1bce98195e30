"""Handling of requests from callers and other entries, locally or by forwarding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal.requests import Answer, IdempotencyKey
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal.peers import Forwarder
    from briardeal.requests import IdempotencyKeys, Request, Router
    from briardeal_core.metrics import Metrics

SHUTDOWN_RETRY_AFTER_S = 0.5
OTHER_REGION_REASONS = {Reason.NO_ENDPOINT, Reason.AGENT_SILENT}
"""Reasons for which a refused request is forwarded to another region."""


class RequestHandler:
    """Answers each request completely or refuses it with a reason.

    Parameters
    ----------
    keys
        Idempotency keys that this entry issued.
    router
        Sends requests to endpoints of the region.
    metrics
        Metrics of the process, which count refusals.

    Attributes
    ----------
    forwarder
        Forwards requests to other entries; set before the first request.
    accepting
        Whether requests of callers are accepted.
    in_flight
        Number of requests of callers in progress.
    """

    def __init__(self, keys: IdempotencyKeys, router: Router, metrics: Metrics) -> None:
        self.keys = keys
        self.router = router
        self.metrics = metrics
        self.forwarder: Forwarder | None = None
        self.accepting = False
        self.in_flight = 0

    async def handle(self, request: Request) -> Answer | Refusal:
        """Return the answer to a caller's request, or the refusal with its reason."""
        if not self.accepting:
            # The key may have been used before; only its home entry knows.
            run_state = RunState.UNKNOWN if request.key else RunState.NOT_RUN
            refusal = Refusal(Reason.SHUTTING_DOWN, run_state, SHUTDOWN_RETRY_AFTER_S)
            return self._record_refusal(refusal, request)
        self.in_flight += 1
        try:
            outcome = await self._handle(request)
        finally:
            self.in_flight -= 1
        return self._record_refusal(outcome, request) if isinstance(outcome, Refusal) else outcome

    async def answer_home_request(self, request: Request) -> Answer | Refusal:
        """Run a request whose idempotency key this entry issued, at most once."""
        key = IdempotencyKey.parse(request.key)
        if key is None:
            return Refusal(Reason.KEY_NOT_ISSUED, RunState.NOT_RUN)
        if not self.keys.is_issued_here(key):
            return Refusal(Reason.KEY_HOME_LOST, RunState.UNKNOWN)
        return await self.keys.run_once(key, request, lambda: self._route(request))

    async def answer_remote_request(self, request: Request) -> Answer | Refusal:
        """Run a request of another region, whose entry handles the idempotency key."""
        return await self.router.route(request)

    async def _handle(self, request: Request) -> Answer | Refusal:
        if request.idempotent:
            return await self._route(request)
        if not request.key:
            return Refusal(Reason.KEY_REQUIRED, RunState.NOT_RUN)
        key = IdempotencyKey.parse(request.key)
        if key is None or key.entry_id == self.keys.entry_id:
            return await self.answer_home_request(request)
        return await self.forwarder.forward_to_home(request, key.entry_id, key.incarnation)

    async def _route(self, request: Request) -> Answer | Refusal:
        outcome = await self.router.route(request)
        if isinstance(outcome, Answer) or outcome.reason not in OTHER_REGION_REASONS:
            return outcome
        if outcome.run_state is not RunState.NOT_RUN:
            return outcome
        return await self.forwarder.forward_to_other_region(request) or outcome

    def _record_refusal(self, refusal: Refusal, request: Request) -> Refusal:
        self.metrics.count_refusal(refusal.reason)
        unknown = refusal.run_state is RunState.UNKNOWN
        log_event(
            Event.REQUEST_UNKNOWN if unknown else Event.REQUEST_REFUSED,
            reason=refusal.reason.code,
            service=request.service,
            customer=request.customer,
            run_state=refusal.run_state.value,
        )
        return refusal

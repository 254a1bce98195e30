"""Forwarding of requests to other entries and execution of forwards received from them."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import msgspec
from sortedcontainers import SortedList

from briardeal.peers._bridges import FailureDomainId
from briardeal.requests import Answer, Request
from briardeal_core.events import Event, log_event
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.connections import Closed, TimedOut
from briardeal_protocol.peers import Broken, Forward, Forwarded, ForwardRefused

if TYPE_CHECKING:
    from briardeal.peers._interfaces import ForwardHandler
    from briardeal.peers._link import PeerLink, Reply
    from briardeal.peers._table import PeerTable, RemoteDomain

HOP_LIMIT = 3
"""Most links that a forward passes: to the bridge, to the other region, and to the target."""

UNREACHABLE_RETRY_S = 2.0
BODY_LIMIT_BYTES = 16 * 1024 * 1024
DUPLICATE_TTL_S = 600.0
"""Time for which a finished forward is recorded, in seconds; a duplicate is not run again."""

ForwardId = tuple[str, int, int]
NO_DOMAIN = FailureDomainId("", "")


class Forwarder:
    """Forwards requests to other entries and answers the forwards of others.

    Parameters
    ----------
    table
        Links to other entries and known members.
    handler
        Runs requests that other entries forward.

    Attributes
    ----------
    running
        Forwards that are being executed.
    ended
        Forwards that finished less than `DUPLICATE_TTL_S` ago.
    """

    def __init__(self, table: PeerTable, handler: ForwardHandler) -> None:
        self.table = table
        self.handler = handler
        self.running: dict[ForwardId, asyncio.Task[Answer | Refusal]] = {}
        self.ended: set[ForwardId] = set()
        self._ended_order: SortedList[tuple[float, ForwardId]] = SortedList()
        self._numbers = itertools.count(1)

    async def forward_to_home(
        self, request: Request, entry_id: str, incarnation: int
    ) -> Answer | Refusal:
        """Forward a request to its home, the entry that issued its idempotency key."""
        link = self.table.find_link(entry_id)
        if link is not None:
            return await self._forward(request, link, entry_id)
        member = self.table.registry.find(entry_id)
        if member is None or member.incarnation > incarnation:
            return Refusal(Reason.KEY_HOME_LOST, RunState.UNKNOWN)
        return _refuse_unsent(entry_id, Reason.ENTRY_UNREACHABLE)

    async def forward_to_other_region(self, request: Request) -> Answer | Refusal | None:
        """Forward a request to the least loaded failure domain of another region with endpoints.

        The next one is tried only if the request certainly did not run or is idempotent.

        Returns
        -------
        Answer or Refusal or None
            The outcome; `None` if no reachable failure domain has the service.
        """
        outcome = None
        for domain in self._domains_by_load(request.service):
            link = self.table.links.get(domain.source)
            if link is None:
                continue
            outcome = await self._forward(request, link, "", domain.name)
            if isinstance(outcome, Answer):
                return outcome
            if outcome.run_state is not RunState.NOT_RUN and not request.idempotent:
                return outcome
        return outcome

    async def handle_forward(self, forward: Forward) -> Reply:
        """Run a forward addressed to this entry, or relay it towards its target."""
        if self._is_addressed_here(forward):
            return _to_reply(await self._run_once(forward), forward.call_id)
        link = self._next_link(forward)
        if link is None:
            refusal = _refuse_unsent(forward.target, Reason.ENTRY_UNREACHABLE)
            return _to_reply(refusal, forward.call_id)
        if forward.hops <= 1:
            refusal = _refuse_unsent(forward.target, Reason.FORWARD_LIMIT)
            return _to_reply(refusal, forward.call_id)
        onward = msgspec.structs.replace(
            forward, call_id=link.next_call_id(), hops=forward.hops - 1
        )
        reply = await link.call(onward, forward.deadline_s)
        if isinstance(reply, Forwarded | ForwardRefused):
            return msgspec.structs.replace(reply, call_id=forward.call_id)
        return _to_reply(_to_outcome(reply, forward.target), forward.call_id)

    def remove_expired(self) -> None:
        """Remove forwards that finished more than `DUPLICATE_TTL_S` ago."""
        now_s = self.table.now_s()
        while self._ended_order and self._ended_order[0][0] <= now_s:
            self.ended.discard(self._ended_order.pop(0)[1])

    def _domains_by_load(self, service: str) -> list[RemoteDomain]:
        domains = [domain for domain in self.table.domains.values() if service in domain.services]
        domains = [domain for domain in domains if domain.services[service].endpoints]
        return sorted(domains, key=lambda domain: _busy_share(domain, service))

    def _is_addressed_here(self, forward: Forward) -> bool:
        local_member = self.table.local_member
        if forward.target:
            return forward.target == local_member.entry_id
        return forward.region == local_member.region

    def _next_link(self, forward: Forward) -> PeerLink | None:
        if forward.target:
            return self.table.find_link(forward.target)
        domain = self.table.domains.get(FailureDomainId(forward.region, forward.failure_domain))
        return None if domain is None else self.table.links.get(domain.source)

    async def _forward(
        self, request: Request, link: PeerLink, target: str, domain: FailureDomainId = NO_DOMAIN
    ) -> Answer | Refusal:
        remaining_s = request.deadline_s - self.table.now_s()
        if remaining_s <= 0:
            return _refuse_unsent(target, Reason.DEADLINE_PASSED)
        local_member = self.table.local_member
        forward = Forward(
            call_id=link.next_call_id(),
            origin=local_member.entry_id,
            origin_incarnation=local_member.incarnation,
            number=next(self._numbers),
            target=target,
            region=domain.region,
            failure_domain=domain.failure_domain,
            hops=HOP_LIMIT,
            deadline_s=remaining_s,
            service=request.service,
            customer=request.customer,
            content_type=request.content_type,
            idempotent=request.idempotent,
            key=request.key,
            body=request.body,
        )
        log_event(Event.REQUEST_FORWARDED, service=request.service, peer=link.member.entry_id)
        return _to_outcome(await link.call(forward, remaining_s), target)

    async def _run_once(self, forward: Forward) -> Answer | Refusal:
        identity = (forward.origin, forward.origin_incarnation, forward.number)
        if identity in self.ended:
            return Refusal(Reason.FORWARD_LOST, RunState.UNKNOWN)
        task = self.running.get(identity)
        if task is None:
            task = asyncio.create_task(self._run_forward(identity, forward))
            self.running[identity] = task
        return await asyncio.shield(task)

    async def _run_forward(self, identity: ForwardId, forward: Forward) -> Answer | Refusal:
        request = Request(
            service=forward.service,
            customer=forward.customer,
            body=forward.body,
            content_type=forward.content_type,
            deadline_s=self.table.now_s() + forward.deadline_s,
            idempotent=forward.idempotent,
            key=forward.key,
        )
        try:
            if forward.target:
                return await self.handler.answer_home_request(request)
            return await self.handler.answer_remote_request(request)
        finally:
            del self.running[identity]
            self.ended.add(identity)
            self._ended_order.add((self.table.now_s() + DUPLICATE_TTL_S, identity))


def _busy_share(domain: RemoteDomain, service: str) -> float:
    load = domain.services[service]
    return 1 - load.free_slots / max(1, load.slots)


def _refuse_unsent(target: str, reason: Reason) -> Refusal:
    """Return the refusal of a request that was not sent.

    The run state of a request with a key is unknown: the key may have been used before, and only
    its home records that.
    """
    run_state = RunState.UNKNOWN if target else RunState.NOT_RUN
    return Refusal(reason, run_state, UNREACHABLE_RETRY_S)


def _to_reply(outcome: Answer | Refusal, call_id: int) -> Reply:
    if isinstance(outcome, Refusal):
        return ForwardRefused(
            call_id,
            outcome.reason.code,
            outcome.run_state.value,
            outcome.retry_after_s,
            outcome.detail,
        )
    if len(outcome.body) > BODY_LIMIT_BYTES:
        detail = "The answer exceeds the size limit for forwarded answers."
        return _to_reply(Refusal(Reason.ANSWER_CUT, RunState.RAN, None, detail), call_id)
    return Forwarded(call_id, outcome.status, outcome.content_type, outcome.body)


def _to_outcome(reply: Reply | Closed | Broken | TimedOut, target: str) -> Answer | Refusal:
    match reply:
        case Forwarded():
            return Answer(reply.status, reply.body, reply.content_type)
        case ForwardRefused():
            run_state = RunState(reply.run_state)
            return Refusal(_find_reason(reply.reason), run_state, reply.retry_after_s, reply.detail)
        case Closed():
            return _refuse_unsent(target, Reason.ENTRY_UNREACHABLE)
        case TimedOut():
            return Refusal(Reason.DEADLINE_PASSED, RunState.UNKNOWN)
    return Refusal(Reason.FORWARD_LOST, RunState.UNKNOWN, UNREACHABLE_RETRY_S)


def _find_reason(code: str) -> Reason:
    """Return the reason with a code; `FORWARD_LOST` for the unknown code of a newer entry."""
    return Reason.__members__.get(code.upper(), Reason.FORWARD_LOST)

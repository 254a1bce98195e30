"""Requests passed on to other entries and taken from them."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import msgspec
from sortedcontainers import SortedList

from briardeal.peers._carriers import FailureDomainId
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
"""From an entry to the carrier of its failure domain, across, and to the target."""

UNREACHABLE_RETRY_S = 2.0
BODY_LIMIT_BYTES = 16 * 1024 * 1024
COPIES_TTL_S = 600.0
"""How long after its end a forward is remembered, so that a late copy is not run."""

ForwardId = tuple[str, int, int]
NO_DOMAIN = FailureDomainId("", "")


class Forwarder:
    """Passes requests on and answers those that others passed on.

    Parameters
    ----------
    table
        Entries that are alive.
    handler
        Runs requests of other entries.
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
        """Pass a request on to the entry that issued its idempotency key."""
        link = self.table.route(entry_id)
        if link is not None:
            return await self._pass_on(request, link, entry_id)
        member = self.table.book.find(entry_id)
        if member is None or member.incarnation > incarnation:
            return Refusal(Reason.KEY_HOME_LOST, RunState.UNKNOWN)
        return _unsent(entry_id, Reason.ENTRY_UNREACHABLE)

    async def forward_to_other_region(self, request: Request) -> Answer | Refusal | None:
        """Pass a request on to the least loaded failure domain elsewhere that has endpoints.

        Another one is tried only where the request certainly did not run or may run twice.

        Returns
        -------
        Answer or Refusal or None
            The outcome; `None` where no failure domain in reach has the service.
        """
        outcome = None
        for domain in self._by_load(request.service):
            link = self.table.links.get(domain.source)
            if link is None:
                continue
            outcome = await self._pass_on(request, link, "", domain.name)
            if isinstance(outcome, Answer):
                return outcome
            if outcome.run_state is not RunState.NOT_RUN and not request.idempotent:
                return outcome
        return outcome

    async def handle_forward(self, forward: Forward) -> Reply:
        """Answer a forward, or pass it on towards its target."""
        if self._is_for_me(forward):
            return _to_reply(await self._run_once(forward), forward.call_id)
        link = self._next_link(forward)
        if link is None:
            refusal = _unsent(forward.target, Reason.ENTRY_UNREACHABLE)
            return _to_reply(refusal, forward.call_id)
        if forward.hops <= 1:
            refusal = _unsent(forward.target, Reason.FORWARD_LIMIT)
            return _to_reply(refusal, forward.call_id)
        onward = msgspec.structs.replace(
            forward, call_id=link.next_call_id(), hops=forward.hops - 1
        )
        reply = await link.call(onward, forward.deadline_s)
        if isinstance(reply, Forwarded | ForwardRefused):
            return msgspec.structs.replace(reply, call_id=forward.call_id)
        return _to_reply(_to_outcome(reply, forward.target), forward.call_id)

    def forget(self) -> None:
        """Forget the forwards that ended long ago."""
        now_s = self.table.now_s()
        while self._ended_order and self._ended_order[0][0] <= now_s:
            self.ended.discard(self._ended_order.pop(0)[1])

    def _by_load(self, service: str) -> list[RemoteDomain]:
        domains = [domain for domain in self.table.domains.values() if service in domain.services]
        domains = [domain for domain in domains if domain.services[service].endpoints]
        return sorted(domains, key=lambda domain: _busy_share(domain, service))

    def _is_for_me(self, forward: Forward) -> bool:
        myself = self.table.myself
        if forward.target:
            return forward.target == myself.entry_id
        return forward.region == myself.region

    def _next_link(self, forward: Forward) -> PeerLink | None:
        if forward.target:
            return self.table.route(forward.target)
        domain = self.table.domains.get(FailureDomainId(forward.region, forward.failure_domain))
        return None if domain is None else self.table.links.get(domain.source)

    async def _pass_on(
        self, request: Request, link: PeerLink, target: str, domain: FailureDomainId = NO_DOMAIN
    ) -> Answer | Refusal:
        left_s = request.deadline_s - self.table.now_s()
        if left_s <= 0:
            return _unsent(target, Reason.DEADLINE_PASSED)
        myself = self.table.myself
        forward = Forward(
            call_id=link.next_call_id(),
            origin=myself.entry_id,
            origin_incarnation=myself.incarnation,
            number=next(self._numbers),
            target=target,
            region=domain.region,
            failure_domain=domain.failure_domain,
            hops=HOP_LIMIT,
            deadline_s=left_s,
            service=request.service,
            customer=request.customer,
            content_type=request.content_type,
            idempotent=request.idempotent,
            key=request.key,
            body=request.body,
        )
        log_event(Event.REQUEST_FORWARDED, service=request.service, peer=link.member.entry_id)
        return _to_outcome(await link.call(forward, left_s), target)

    async def _run_once(self, forward: Forward) -> Answer | Refusal:
        identity = (forward.origin, forward.origin_incarnation, forward.number)
        if identity in self.ended:
            return Refusal(Reason.FORWARD_LOST, RunState.UNKNOWN)
        task = self.running.get(identity)
        if task is None:
            task = asyncio.create_task(self._run(identity, forward))
            self.running[identity] = task
        return await asyncio.shield(task)

    async def _run(self, identity: ForwardId, forward: Forward) -> Answer | Refusal:
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
            self._ended_order.add((self.table.now_s() + COPIES_TTL_S, identity))


def _busy_share(domain: RemoteDomain, service: str) -> float:
    load = domain.services[service]
    return 1 - load.free_slots / max(1, load.slots)


def _unsent(target: str, reason: Reason) -> Refusal:
    """Return the outcome of a request that was not sent.

    Nothing but its home can tell that a request with a key did not run, since the key may have
    been used before.
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
        detail = "The answer is larger than entries pass on."
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
            return _unsent(target, Reason.ENTRY_UNREACHABLE)
        case TimedOut():
            return Refusal(Reason.DEADLINE_PASSED, RunState.UNKNOWN)
    return Refusal(Reason.FORWARD_LOST, RunState.UNKNOWN, UNREACHABLE_RETRY_S)


def _find_reason(code: str) -> Reason:
    """Return the reason of a code; a newer entry may send one that is not known here."""
    return Reason.__members__.get(code.upper(), Reason.FORWARD_LOST)

"""Admission of requests to the endpoint beside the agent."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_agent.permits._shares import SlotShares
from briardeal_core.reasons import Reason
from briardeal_protocol.messages import Admitted, NotAdmitted

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_protocol.messages import Admit, EndpointState, EntryHello, Release

START_WITHIN_S = 1.0
"""Time in which an entry must send an admitted request."""

GRACE_S = 0.5
"""Time for a request on its way and for clocks that run unequally fast."""

QUARANTINE_S = START_WITHIN_S + 2 * GRACE_S
"""Time after a start in which permits of the agent's earlier life may still be used."""

REPORT_SPACING_S = 0.25
"""Least time between two reports of the endpoint that count as two.

A process that was paused may report before it takes up what waits in its sockets.
"""

KEY_LIMIT = 4096
"""Most keys that are remembered."""


@attrs.define
class Permit:
    """A slot that is held for one request.

    Parameters
    ----------
    permit_id
        Name of the slot's use, unique.
    holder
        Entry and incarnation that it was granted to.
    customer
        Customer that the request is from.
    key
        Idempotency key of the request; empty for idempotent requests.
    incarnation
        Incarnation of the endpoint that it is for.
    start_by_s
        Until when the request can be sent, on the loop's clock.
    expires_s
        When the endpoint must have ended the request, on the loop's clock.
    loose
        Whether no release can be counted on any more.
    missing_s
        Since when the endpoint's reports don't name it, on the loop's clock; `None` where the last
        one does.
    """

    permit_id: str
    holder: str
    customer: str
    key: str
    incarnation: int
    start_by_s: float
    expires_s: float
    loose: bool = False
    missing_s: float | None = None


class PermitTable:
    """The slots of one endpoint, across all entries, and the keys that it was sent.

    Parameters
    ----------
    now_s
        Clock of the loop.
    name
        Name of the agent.
    quarantine_s
        Time from now in which nothing is admitted, in seconds.

    Attributes
    ----------
    endpoint
        The endpoint as it last announced itself; `None` where it has not, or lapsed.
    running
        Permits in the endpoint's last report; `None` where it makes none.
    settled
        Whether the reports name all that the endpoint works on.
    held
        Permits by name.
    leaving
        Whether the agent takes no new work.
    """

    def __init__(
        self, now_s: Callable[[], float], name: str = "", quarantine_s: float = 0.0
    ) -> None:
        self.now_s = now_s
        self.opens_s = now_s() + quarantine_s
        self.endpoint: EndpointState | None = None
        self.expires_s = 0.0
        self.running: frozenset[str] | None = None
        self.reports_since_s = 0.0
        self.settled = False
        self.held: dict[str, Permit] = {}
        self.keys: OrderedDict[str, None] = OrderedDict()
        self.shares = SlotShares(name, now_s)
        self.leaving = False

    def announce(self, endpoint: EndpointState | None, expires_s: float = float("inf")) -> None:
        """Take the state that the endpoint announced; `None` when its lease lapsed."""
        self.endpoint = endpoint
        self.expires_s = expires_s
        if endpoint is None:
            self.running = None
            self.settled = False
            return
        for permit in self.held.values():
            permit.loose |= permit.incarnation != endpoint.incarnation

    def report(self, running: tuple[str, ...]) -> None:
        """Take the names of the permits whose requests the endpoint works on."""
        now_s = self.now_s()
        if self.running is None:
            self.reports_since_s = now_s
        self.running = frozenset(running)
        if not self.settled:
            self._adopt()
            settles_s = max(self.reports_since_s + REPORT_SPACING_S, self.opens_s)
            self.settled = now_s >= settles_s
        for permit in list(self.held.values()):
            self._compare(permit, now_s)

    def admit(self, entry: EntryHello, call: Admit) -> Admitted | NotAdmitted:
        """Hold a slot for a request, or say why not."""
        self.expire()
        self.shares.ask(call.customer, call.share)
        reason = self._refusal(call)
        if reason is not None:
            return NotAdmitted(
                call_id=call.call_id,
                reason=reason.code,
                ran=reason is Reason.KEY_IN_USE,
                slots_in_use=len(self.held),
            )
        self._hold(entry, call)
        return Admitted(
            call_id=call.call_id, start_within_s=START_WITHIN_S, slots_in_use=len(self.held)
        )

    def release(self, entry: EntryHello, call: Release) -> None:
        """Free the slot of a request, unless the endpoint may still work on it."""
        permit = self.held.get(_permit_id(entry, call.permit))
        if permit is None:
            return
        if not call.started:
            self.keys.pop(permit.key, None)
        if call.started and not call.finished:
            permit.loose = True
            permit.start_by_s = self.now_s()
        else:
            self._free(permit)

    def lose_entry(self, entry: EntryHello) -> None:
        """Expect no more releases from an entry over the connection that was lost."""
        for permit in self.held.values():
            permit.loose |= permit.holder == _holder(entry)

    def expire(self) -> None:
        """Free the slots whose time has passed, or leave them to the endpoint's reports."""
        now_s = self.now_s()
        if self.expires_s <= now_s:
            self.announce(None)
        for permit in [permit for permit in self.held.values() if permit.expires_s <= now_s]:
            permit.loose = True
            if self.running is None:
                self._free(permit)
        self.shares.forget_idle()

    def state(self) -> EndpointState | None:
        """Return the endpoint with its load and whether it takes new work."""
        if not self._is_open():
            return None
        leaving = self.endpoint.leaving or self.leaving
        return msgspec.structs.replace(self.endpoint, slots_in_use=len(self.held), leaving=leaving)

    def _is_open(self) -> bool:
        if self.endpoint is None or self.now_s() < self.opens_s:
            return False
        return self.running is None or self.settled

    def _refusal(self, call: Admit) -> Reason | None:
        if not self._is_open():
            return Reason.NO_ENDPOINT
        if self.endpoint.incarnation != call.incarnation:
            return Reason.ENDPOINT_REPLACED
        if call.key and call.key in self.keys:
            return Reason.KEY_IN_USE
        if self.endpoint.leaving or self.leaving:
            return Reason.ENDPOINT_LEAVING
        slots = min(self.endpoint.slots, self.endpoint.connections)
        if not self.shares.may_take(call.customer, slots, len(self.held)):
            return Reason.ENDPOINTS_BUSY
        return None

    def _hold(self, entry: EntryHello, call: Admit) -> None:
        now_s = self.now_s()
        permit = Permit(
            permit_id=_permit_id(entry, call.permit),
            holder=_holder(entry),
            customer=call.customer,
            key=call.key,
            incarnation=call.incarnation,
            start_by_s=now_s + START_WITHIN_S,
            expires_s=now_s + call.deadline_s + GRACE_S,
        )
        self.held[permit.permit_id] = permit
        self.shares.take(call.customer)
        if call.key:
            self.keys[call.key] = None
            if len(self.keys) > KEY_LIMIT:
                self.keys.popitem(last=False)

    def _adopt(self) -> None:
        for permit_id in self.running - self.held.keys():
            now_s = self.now_s()
            permit = Permit(permit_id, "", "", "", 0, now_s, now_s, loose=True)
            self.held[permit_id] = permit
            self.shares.take(permit.customer)

    def _compare(self, permit: Permit, now_s: float) -> None:
        """Free a loose permit that two reports in a row do not name."""
        if permit.permit_id in self.running:
            permit.missing_s = None
        elif permit.missing_s is None:
            permit.missing_s = now_s
        elif permit.loose and now_s >= max(
            permit.missing_s + REPORT_SPACING_S, permit.start_by_s + GRACE_S
        ):
            self._free(permit)

    def _free(self, permit: Permit) -> None:
        del self.held[permit.permit_id]
        self.shares.give_back(permit.customer)


def _holder(entry: EntryHello) -> str:
    return f"{entry.entry_id}/{entry.incarnation}"


def _permit_id(entry: EntryHello, number: int) -> str:
    return f"{_holder(entry)}/{number}"

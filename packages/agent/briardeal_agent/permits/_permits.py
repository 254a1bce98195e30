"""Admission of requests to the endpoint on the agent's VM."""

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
"""Time within which an entry must send an admitted request, in seconds."""

GRACE_S = 0.5
"""Time allowed for a request in transit and for clock drift, in seconds."""

QUARANTINE_S = START_WITHIN_S + 2 * GRACE_S
"""Time after a restart of the agent in which earlier permits may still be used, in seconds."""

MIN_REPORT_INTERVAL_S = 0.25
"""Minimum time between two reports of the endpoint, in seconds, to count as separate reports.

A process that was paused may report before it reads the requests waiting in its sockets.
"""

KEY_LIMIT = 4096
"""Maximum number of stored idempotency keys."""


@attrs.define
class Permit:
    """A slot held for one request.

    Parameters
    ----------
    permit_id
        Unique ID of the permit.
    holder_id
        ID and incarnation of the entry to which it was granted.
    customer
        Customer of the request.
    key
        Idempotency key of the request; empty for idempotent requests.
    incarnation
        Incarnation of the endpoint to which the request is admitted.
    start_deadline_s
        Time until which the request may be sent, on the loop's clock.
    expires_s
        Time by which the endpoint must have finished the request, on the loop's clock.
    orphaned
        Whether its release may never arrive, so that reports of the endpoint decide.
    missing_since_s
        Time of the first report since which the permit is missing, on the loop's clock; `None` if
        the last report contains it.
    """

    permit_id: str
    holder_id: str
    customer: str
    key: str
    incarnation: int
    start_deadline_s: float
    expires_s: float
    orphaned: bool = False
    missing_since_s: float | None = None


class PermitTable:
    """Permits held at one endpoint by all entries, and the idempotency keys of its requests.

    Parameters
    ----------
    now_s
        Clock of the loop.
    name
        Name of the agent.
    quarantine_s
        Seconds after creation during which no request is admitted.

    Attributes
    ----------
    endpoint
        Last announced state of the endpoint; `None` before the first announcement and after its
        lease has expired.
    reported
        IDs of the permits in the endpoint's last report; `None` if the endpoint sends no reports.
    reconciled
        Whether the reports are known to contain all requests in progress.
    held
        Permits by ID.
    leaving
        Whether the agent rejects new requests.
    """

    def __init__(
        self, now_s: Callable[[], float], name: str = "", quarantine_s: float = 0.0
    ) -> None:
        self.now_s = now_s
        self.quarantine_until_s = now_s() + quarantine_s
        self.endpoint: EndpointState | None = None
        self.expires_s = 0.0
        self.reported: frozenset[str] | None = None
        self.first_report_s = 0.0
        self.reconciled = False
        self.held: dict[str, Permit] = {}
        self.keys: OrderedDict[str, None] = OrderedDict()
        self.shares = SlotShares(name, now_s)
        self.leaving = False

    def update_endpoint(
        self, endpoint: EndpointState | None, expires_s: float = float("inf")
    ) -> None:
        """Set the announced state of the endpoint; `None` after its lease has expired."""
        self.endpoint = endpoint
        self.expires_s = expires_s
        if endpoint is None:
            self.reported = None
            self.reconciled = False
            return
        for permit in self.held.values():
            permit.orphaned |= permit.incarnation != endpoint.incarnation

    def reconcile(self, reported: tuple[str, ...]) -> None:
        """Compare the held permits with the IDs of those that the endpoint reports in progress."""
        now_s = self.now_s()
        if self.reported is None:
            self.first_report_s = now_s
        self.reported = frozenset(reported)
        if not self.reconciled:
            self._adopt_reported()
            reconciled_at_s = max(
                self.first_report_s + MIN_REPORT_INTERVAL_S, self.quarantine_until_s
            )
            self.reconciled = now_s >= reconciled_at_s
        for permit in list(self.held.values()):
            self._reconcile_permit(permit, now_s)

    def admit(self, entry: EntryHello, call: Admit) -> Admitted | NotAdmitted:
        """Hold a slot for a request, or return the reason for the rejection."""
        self.expire()
        self.shares.record_request(call.customer, call.share)
        reason = self._rejection_reason(call)
        if reason is not None:
            return NotAdmitted(
                call_id=call.call_id,
                reason=reason.code,
                ran=reason is Reason.KEY_IN_USE,
                slots_in_use=len(self.held),
            )
        self._add_permit(entry, call)
        return Admitted(
            call_id=call.call_id, start_within_s=START_WITHIN_S, slots_in_use=len(self.held)
        )

    def release(self, entry: EntryHello, call: Release) -> None:
        """Free the slot of a request, unless the endpoint may still be processing it."""
        permit = self.held.get(_permit_id(entry, call.permit))
        if permit is None:
            return
        if not call.started:
            self.keys.pop(permit.key, None)
        if call.started and not call.finished:
            permit.orphaned = True
            permit.start_deadline_s = self.now_s()
        else:
            self._remove_permit(permit)

    def handle_lost_entry(self, entry: EntryHello) -> None:
        """Mark the permits of an entry as orphaned after its connection was lost."""
        for permit in self.held.values():
            permit.orphaned |= permit.holder_id == _holder_id(entry)

    def expire(self) -> None:
        """Expire the endpoint's lease and permits.

        Expired permits are freed at once if the endpoint sends no reports, else once two reports
        don't contain them.
        """
        now_s = self.now_s()
        if self.expires_s <= now_s:
            self.update_endpoint(None)
        for permit in [permit for permit in self.held.values() if permit.expires_s <= now_s]:
            permit.orphaned = True
            if self.reported is None:
                self._remove_permit(permit)
        self.shares.remove_idle()

    def endpoint_state(self) -> EndpointState | None:
        """Return the endpoint's state with its load; `None` while it accepts no requests."""
        if not self._accepts_requests():
            return None
        leaving = self.endpoint.leaving or self.leaving
        return msgspec.structs.replace(self.endpoint, slots_in_use=len(self.held), leaving=leaving)

    def _accepts_requests(self) -> bool:
        if self.endpoint is None or self.now_s() < self.quarantine_until_s:
            return False
        return self.reported is None or self.reconciled

    def _rejection_reason(self, call: Admit) -> Reason | None:
        if not self._accepts_requests():
            return Reason.NO_ENDPOINT
        if self.endpoint.incarnation != call.incarnation:
            return Reason.ENDPOINT_REPLACED
        if call.key and call.key in self.keys:
            return Reason.KEY_IN_USE
        if self.endpoint.leaving or self.leaving:
            return Reason.ENDPOINT_LEAVING
        slots = min(self.endpoint.slots, self.endpoint.connections)
        if not self.shares.can_acquire(call.customer, slots, len(self.held)):
            return Reason.ENDPOINTS_BUSY
        return None

    def _add_permit(self, entry: EntryHello, call: Admit) -> None:
        now_s = self.now_s()
        permit = Permit(
            permit_id=_permit_id(entry, call.permit),
            holder_id=_holder_id(entry),
            customer=call.customer,
            key=call.key,
            incarnation=call.incarnation,
            start_deadline_s=now_s + START_WITHIN_S,
            expires_s=now_s + call.deadline_s + GRACE_S,
        )
        self.held[permit.permit_id] = permit
        self.shares.acquire(call.customer)
        if call.key:
            self.keys[call.key] = None
            if len(self.keys) > KEY_LIMIT:
                self.keys.popitem(last=False)

    def _adopt_reported(self) -> None:
        for permit_id in self.reported - self.held.keys():
            now_s = self.now_s()
            permit = Permit(permit_id, "", "", "", 0, now_s, now_s, orphaned=True)
            self.held[permit_id] = permit
            self.shares.acquire(permit.customer)

    def _reconcile_permit(self, permit: Permit, now_s: float) -> None:
        """Free an orphaned permit that is missing in two successive reports."""
        if permit.permit_id in self.reported:
            permit.missing_since_s = None
        elif permit.missing_since_s is None:
            permit.missing_since_s = now_s
        elif permit.orphaned and now_s >= max(
            permit.missing_since_s + MIN_REPORT_INTERVAL_S, permit.start_deadline_s + GRACE_S
        ):
            self._remove_permit(permit)

    def _remove_permit(self, permit: Permit) -> None:
        del self.held[permit.permit_id]
        self.shares.release(permit.customer)


def _holder_id(entry: EntryHello) -> str:
    return f"{entry.entry_id}/{entry.incarnation}"


def _permit_id(entry: EntryHello, number: int) -> str:
    return f"{_holder_id(entry)}/{number}"

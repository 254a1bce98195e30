"""The lease of the endpoint's announcement."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_protocol.messages import EndpointState

if TYPE_CHECKING:
    from briardeal_agent.permits import PermitTable


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What an endpoint says of itself, again and again within the lease.

    Parameters
    ----------
    service, address, incarnation, slots, connections, leaving
        As in `EndpointState`.
    running
        Values of the `Briardeal-Permit` header of the requests that it works on; `None` where it
        does not keep count.
    """

    service: str
    address: str
    incarnation: int
    slots: int
    connections: int
    leaving: bool = False
    running: tuple[str, ...] | None = None

    def state(self) -> EndpointState:
        """Return the state that entries are told."""
        return EndpointState(
            service=self.service,
            address=self.address,
            incarnation=self.incarnation,
            slots=self.slots,
            connections=self.connections,
            leaving=self.leaving,
        )


class EndpointRegistration:
    """Takes announcements and lets them lapse.

    Parameters
    ----------
    permits
        Slots of the endpoint.
    lease_s
        How long an announcement holds, in seconds.

    Attributes
    ----------
    newest
        Highest incarnation announced so far.
    """

    def __init__(self, permits: PermitTable, lease_s: float) -> None:
        self.permits = permits
        self.lease_s = lease_s
        self.newest = 0

    def register(self, announcement: Announcement) -> bool:
        """Take an announcement; return whether it is not from an older incarnation."""
        if announcement.incarnation < self.newest:
            return False
        self.newest = announcement.incarnation
        expires_s = self.permits.now_s() + self.lease_s
        self.permits.announce(announcement.state(), expires_s)
        if announcement.running is not None:
            self.permits.report(announcement.running)
        return True

    def expire(self) -> None:
        """Forget the endpoint when its lease has lapsed."""
        self.permits.expire()

"""Announcements of the endpoint and their lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from briardeal_protocol.messages import EndpointState

if TYPE_CHECKING:
    from briardeal_agent.permits import PermitTable


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """State that an endpoint announces repeatedly within its lease.

    Parameters
    ----------
    service, address, incarnation, slots, connections, leaving
        As in `EndpointState`.
    running
        Values of the `Briardeal-Permit` header of the requests in progress; `None` if the endpoint
        does not track them.
    """

    service: str
    address: str
    incarnation: int
    slots: int
    connections: int
    leaving: bool = False
    running: tuple[str, ...] | None = None

    def endpoint_state(self) -> EndpointState:
        """Return the state that is sent to entries."""
        return EndpointState(
            service=self.service,
            address=self.address,
            incarnation=self.incarnation,
            slots=self.slots,
            connections=self.connections,
            leaving=self.leaving,
        )


class EndpointRegistration:
    """Registers the endpoint by its announcements and expires its lease.

    Parameters
    ----------
    permits
        Slots of the endpoint.
    lease_s
        Time after which an announcement expires, in seconds.

    Attributes
    ----------
    newest_incarnation
        Highest incarnation announced so far.
    """

    def __init__(self, permits: PermitTable, lease_s: float) -> None:
        self.permits = permits
        self.lease_s = lease_s
        self.newest_incarnation = 0

    def register(self, announcement: Announcement) -> bool:
        """Apply an announcement; return `False` if it is from an older incarnation."""
        if announcement.incarnation < self.newest_incarnation:
            return False
        self.newest_incarnation = announcement.incarnation
        expires_s = self.permits.now_s() + self.lease_s
        self.permits.update_endpoint(announcement.endpoint_state(), expires_s)
        if announcement.running is not None:
            self.permits.reconcile(announcement.running)
        return True

    def expire(self) -> None:
        """Remove the endpoint if its lease has expired."""
        self.permits.expire()

"""The lease of the endpoint's announcement."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_agent.permits import Permits
    from briardeal_protocol.messages import EndpointState


class Announcements:
    """Takes announcements and lets them lapse.

    Parameters
    ----------
    permits
        Slots of the endpoint.
    lease_s
        How long an announcement holds, in seconds.
    """

    def __init__(self, permits: Permits, lease_s: float) -> None:
        self.permits = permits
        self.lease_s = lease_s
        self.expires_s = 0.0

    def announce(self, endpoint: EndpointState) -> bool:
        """Take an announcement; return whether it is not from an older incarnation."""
        known = self.permits.endpoint
        if known is not None and endpoint.incarnation < known.incarnation:
            return False
        self.permits.announce(endpoint)
        self.expires_s = asyncio.get_running_loop().time() + self.lease_s
        return True

    def expire(self) -> None:
        """Forget the endpoint when its lease has lapsed."""
        if asyncio.get_running_loop().time() >= self.expires_s:
            self.permits.announce(None)

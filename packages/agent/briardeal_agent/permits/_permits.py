"""Admission of requests to the endpoint beside the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.reasons import Reason
from briardeal_protocol.messages import Admitted, NotAdmitted

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from briardeal_protocol.messages import Admit, EndpointState, Release

START_WITHIN_S = 2.0
KEY_TTL_S = 900.0


@attrs.define
class Permit:
    """A slot that is held for one request.

    Parameters
    ----------
    key
        Idempotency key of the request; empty for idempotent requests.
    expires_s
        When the slot is free again at the latest, on the loop's clock.
    """

    key: str
    expires_s: float


class Permits:
    """The slots of one endpoint and the keys that it was sent.

    Parameters
    ----------
    now_s
        Clock of the loop.

    Attributes
    ----------
    endpoint
        The endpoint as it last announced itself.
    held
        Permits by the connection and call that asked for them.
    keys
        When each key is forgotten, in seconds on the loop's clock.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.now_s = now_s
        self.endpoint: EndpointState | None = None
        self.held: dict[Hashable, Permit] = {}
        self.keys: dict[str, float] = {}

    def announce(self, endpoint: EndpointState | None) -> None:
        """Take the state that the endpoint announced; `None` when its lease lapsed."""
        self.endpoint = endpoint

    def admit(self, holder: Hashable, call: Admit) -> Admitted | NotAdmitted:
        """Hold a slot for a request, or say why not."""
        self.expire()
        reason = self._refusal(call)
        if reason is not None:
            return NotAdmitted(
                call_id=call.call_id, reason=reason.code, ran=reason is Reason.KEY_IN_USE
            )
        self.held[holder, call.call_id] = Permit(call.key, self.now_s() + call.deadline_s)
        if call.key:
            self.keys[call.key] = self.now_s() + KEY_TTL_S
        return Admitted(call_id=call.call_id, start_within_s=START_WITHIN_S)

    def release(self, holder: Hashable, call: Release) -> None:
        """Free the slot of a request; forget its key only if it was never sent."""
        permit = self.held.pop((holder, call.call_id), None)
        if permit is not None and not call.started:
            self.keys.pop(permit.key, None)

    def expire(self) -> None:
        """Free the slots and forget the keys whose time has passed."""
        now_s = self.now_s()
        for holder in [name for name, permit in self.held.items() if permit.expires_s <= now_s]:
            del self.held[holder]
        for key in [key for key, expires_s in self.keys.items() if expires_s <= now_s]:
            del self.keys[key]

    def _refusal(self, call: Admit) -> Reason | None:
        if self.endpoint is None:
            return Reason.NO_ENDPOINT
        if self.endpoint.incarnation != call.incarnation:
            return Reason.ENDPOINT_REPLACED
        if call.key and call.key in self.keys:
            return Reason.KEY_IN_USE
        if self.endpoint.leaving:
            return Reason.ENDPOINT_LEAVING
        if len(self.held) >= min(self.endpoint.slots, self.endpoint.connections):
            return Reason.ENDPOINTS_BUSY
        return None

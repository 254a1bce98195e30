"""Interfaces that the peer service requires from the rest of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal.requests import Answer, Request
    from briardeal_core.reasons import Refusal
    from briardeal_protocol.peers import DomainLoad


class ConfigurationSource(Protocol):
    """Access to the configuration of this entry."""

    def version(self) -> int:
        """Return the current version; 0 if there is none."""

    def value(self) -> bytes:
        """Return the current configuration, encoded as in the log."""

    def offer(self, version: int, value: bytes) -> None:
        """Adopt a configuration received from a peer if it is newer than the current one."""


class LogStatus(Protocol):
    """Progress of this entry in reading the log."""

    def last_read_s(self) -> float | None:
        """Return the time of the last successful log read on the loop's clock; `None` if never."""

    def highest_token(self) -> int:
        """Return the highest fencing token read from the log."""


class LoadSource(Protocol):
    """Load of the region, from the agents connected to this entry."""

    def loads(self) -> dict[str, DomainLoad]:
        """Return the load by failure domain."""


class ForwardHandler(Protocol):
    """Runs requests that other entries forwarded, without forwarding them again."""

    async def answer_home_request(self, request: Request) -> Answer | Refusal:
        """Run a request whose idempotency key this entry issued, at most once."""

    async def answer_remote_request(self, request: Request) -> Answer | Refusal:
        """Run a request of another region, whose entry handles the idempotency key."""

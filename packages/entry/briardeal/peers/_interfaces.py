"""What the links between entries need of the rest of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from briardeal.requests import Answer, Request
    from briardeal_core.reasons import Refusal
    from briardeal_protocol.peers import DomainLoad


class ConfigurationSource(Protocol):
    """The configuration that this entry holds."""

    def version(self) -> int:
        """Return the version held; 0 for none."""

    def value(self) -> bytes:
        """Return the configuration held, as it stands in the log."""

    def offer(self, version: int, value: bytes) -> None:
        """Take a configuration from a peer, unless the one held is as new."""


class LogStatus(Protocol):
    """What this entry has read of the log."""

    def last_read_s(self) -> float | None:
        """Return when the log last answered a read, on the loop's clock; `None` for never."""

    def highest_token(self) -> int:
        """Return the highest fencing token read."""


class LoadSource(Protocol):
    """Load of the region, from the agents that this entry hears."""

    def loads(self) -> dict[str, DomainLoad]:
        """Return the load by failure domain."""


class ForwardHandler(Protocol):
    """Runs requests that another entry passed on; never passes them on again."""

    async def answer_home_request(self, request: Request) -> Answer | Refusal:
        """Run a request whose idempotency key this entry issued, at most once."""

    async def answer_remote_request(self, request: Request) -> Answer | Refusal:
        """Run a request of another region, whose entry sees to its key."""

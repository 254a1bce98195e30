"""The table of agents that this entry hears of."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_protocol.connections import Link
    from briardeal_protocol.messages import AgentHello, EndpointState


@attrs.define
class AgentEntry:
    """One agent as this entry knows it.

    Parameters
    ----------
    hello
        What the agent said of itself.
    link
        Connection to the agent.
    endpoint
        The endpoint beside it, as last told.
    heard_s
        When it was last heard, on the loop's clock.
    leaving
        Whether its endpoint takes no new work.
    """

    hello: AgentHello
    link: Link
    endpoint: EndpointState | None
    heard_s: float
    leaving: bool = False

    @property
    def agent_id(self) -> str:
        """Name of the agent's VM."""
        return self.hello.agent_id

    def serves(self, service: str) -> bool:
        """Return whether the endpoint beside the agent takes requests of a service."""
        if self.endpoint is None or self.leaving or self.endpoint.leaving:
            return False
        return self.endpoint.service == service


class AgentTable:
    """Agents by name, each with a lease.

    Parameters
    ----------
    lease_s
        How long an agent counts as alive after it was last heard, in seconds.
    now_s
        Clock of the loop.
    """

    def __init__(self, lease_s: float, now_s: Callable[[], float]) -> None:
        self.lease_s = lease_s
        self.now_s = now_s
        self.agents: dict[str, AgentEntry] = {}

    def join(self, hello: AgentHello, link: Link) -> AgentEntry | None:
        """Take an agent in; return `None` for one that is older than the one known."""
        known = self.agents.get(hello.agent_id)
        if known is not None and known.hello.incarnation > hello.incarnation:
            return None
        entry = AgentEntry(hello, link, hello.endpoint, self.now_s())
        self.agents[hello.agent_id] = entry
        return entry

    def remove(self, entry: AgentEntry) -> None:
        """Forget an agent, unless a newer connection has taken its place."""
        if self.agents.get(entry.agent_id) is entry:
            del self.agents[entry.agent_id]

    def expire(self) -> list[AgentEntry]:
        """Forget the agents whose lease has lapsed and return them."""
        oldest_s = self.now_s() - self.lease_s
        lapsed = [entry for entry in self.agents.values() if entry.heard_s <= oldest_s]
        for entry in lapsed:
            del self.agents[entry.agent_id]
        return lapsed

    def endpoints(self, service: str) -> list[AgentEntry]:
        """Return the agents whose endpoint takes requests of a service."""
        return [entry for entry in self.agents.values() if entry.serves(service)]

    def workers(self) -> list[AgentEntry]:
        """Return the agents with a worker."""
        return [entry for entry in self.agents.values() if entry.hello.worker is not None]

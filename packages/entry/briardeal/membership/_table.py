"""Table of the agents that are connected to this entry."""

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
        First message of the agent, which describes it.
    link
        Connection to the agent.
    endpoint
        State of the endpoint on the agent's VM, as last reported; `None` if there is none.
    last_message_s
        When a message last arrived from the agent, on the event loop's clock.
    leaving
        Whether the agent announced that it is leaving; its endpoint then gets no new requests.
    last_unanswered_s
        When a call to the agent last got no answer, on the event loop's clock.
    own_in_use
        Slots that requests through this entry hold.
    others_in_use
        Slots that requests through other entries hold, as last reported.
    load_reported_s
        When `others_in_use` was reported, on the event loop's clock.
    """

    hello: AgentHello
    link: Link
    endpoint: EndpointState | None
    last_message_s: float
    leaving: bool = False
    last_unanswered_s: float = float("-inf")
    own_in_use: int = 0
    others_in_use: int = 0
    load_reported_s: float = 0.0

    @property
    def agent_id(self) -> str:
        """Identifier of the agent, the name of its VM."""
        return self.hello.agent_id

    @property
    def slots(self) -> int:
        """Number of requests that the endpoint can serve concurrently."""
        return 0 if self.endpoint is None else min(self.endpoint.slots, self.endpoint.connections)

    @property
    def load(self) -> float:
        """Share of slots in use: those counted by this entry and those reported for others."""
        return (self.own_in_use + self.others_in_use) / max(1, self.slots)

    @property
    def is_responsive(self) -> bool:
        """Whether a message arrived since a call to the agent last got no answer."""
        return self.last_message_s > self.last_unanswered_s

    def record_load(self, slots_in_use: int, now_s: float) -> None:
        """Record the number of slots in use that the agent reported."""
        self.others_in_use = max(0, slots_in_use - self.own_in_use)
        self.load_reported_s = now_s

    def serves(self, service: str) -> bool:
        """Return whether the endpoint on the agent's VM accepts requests for a service."""
        if self.endpoint is None or self.leaving or self.endpoint.leaving:
            return False
        return self.endpoint.service == service


class AgentTable:
    """Agents by identifier, each with a lease.

    Parameters
    ----------
    lease_s
        Time after an agent's last message for which it counts as alive, in seconds.
    now_s
        Returns the event loop's time in seconds.
    """

    def __init__(self, lease_s: float, now_s: Callable[[], float]) -> None:
        self.lease_s = lease_s
        self.now_s = now_s
        self.agents: dict[str, AgentEntry] = {}

    def register(self, hello: AgentHello, link: Link) -> AgentEntry | None:
        """Add an agent; return `None` if a newer incarnation is already in the table."""
        known = self.agents.get(hello.agent_id)
        if known is not None and known.hello.incarnation > hello.incarnation:
            return None
        now_s = self.now_s()
        entry = AgentEntry(hello, link, hello.endpoint, now_s)
        if hello.endpoint is not None:
            entry.record_load(hello.endpoint.slots_in_use, now_s)
        self.agents[hello.agent_id] = entry
        return entry

    def remove(self, entry: AgentEntry) -> bool:
        """Remove an agent; return `False` if a newer connection has replaced the entry."""
        if self.agents.get(entry.agent_id) is not entry:
            return False
        del self.agents[entry.agent_id]
        return True

    def remove_expired(self) -> list[AgentEntry]:
        """Remove the agents whose lease has expired and return them."""
        expired = [entry for entry in self.agents.values() if not self._is_alive(entry)]
        for entry in expired:
            del self.agents[entry.agent_id]
        return expired

    def endpoints(self, service: str) -> list[AgentEntry]:
        """Return the live agents whose endpoint accepts requests for a service."""
        return [
            entry
            for entry in self.agents.values()
            if entry.serves(service) and self._is_alive(entry)
        ]

    def workers(self) -> list[AgentEntry]:
        """Return the agents whose VM has a worker."""
        return [entry for entry in self.agents.values() if entry.hello.worker is not None]

    def _is_alive(self, entry: AgentEntry) -> bool:
        return self.now_s() < entry.last_message_s + self.lease_s

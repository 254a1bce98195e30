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
    last_unanswered_s
        When a call to it last went unanswered, on the loop's clock.
    own_in_use
        Slots that requests of this entry hold.
    others_in_use
        Slots that requests of other entries held, as last told.
    load_heard_s
        When `others_in_use` was told, on the loop's clock.
    """

    hello: AgentHello
    link: Link
    endpoint: EndpointState | None
    heard_s: float
    leaving: bool = False
    last_unanswered_s: float = float("-inf")
    own_in_use: int = 0
    others_in_use: int = 0
    load_heard_s: float = 0.0

    @property
    def agent_id(self) -> str:
        """Name of the agent's VM."""
        return self.hello.agent_id

    @property
    def slots(self) -> int:
        """Requests that the endpoint takes at once."""
        return 0 if self.endpoint is None else min(self.endpoint.slots, self.endpoint.connections)

    @property
    def load(self) -> float:
        """Share of the slots that are held, from this entry's own count and the others' report."""
        return (self.own_in_use + self.others_in_use) / max(1, self.slots)

    @property
    def is_responsive(self) -> bool:
        """Whether it was heard since a call to it last went unanswered."""
        return self.heard_s > self.last_unanswered_s

    def record_load(self, slots_in_use: int, now_s: float) -> None:
        """Take the number of slots that the agent says are held."""
        self.others_in_use = max(0, slots_in_use - self.own_in_use)
        self.load_heard_s = now_s

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
        now_s = self.now_s()
        entry = AgentEntry(hello, link, hello.endpoint, now_s)
        if hello.endpoint is not None:
            entry.record_load(hello.endpoint.slots_in_use, now_s)
        self.agents[hello.agent_id] = entry
        return entry

    def remove(self, entry: AgentEntry) -> bool:
        """Forget an agent; return `False` where a newer connection has taken its place."""
        if self.agents.get(entry.agent_id) is not entry:
            return False
        del self.agents[entry.agent_id]
        return True

    def expire(self) -> list[AgentEntry]:
        """Forget the agents whose lease has lapsed and return them."""
        lapsed = [entry for entry in self.agents.values() if not self._is_alive(entry)]
        for entry in lapsed:
            del self.agents[entry.agent_id]
        return lapsed

    def endpoints(self, service: str) -> list[AgentEntry]:
        """Return the agents whose endpoint takes requests of a service."""
        return [
            entry
            for entry in self.agents.values()
            if entry.serves(service) and self._is_alive(entry)
        ]

    def workers(self) -> list[AgentEntry]:
        """Return the agents with a worker."""
        return [entry for entry in self.agents.values() if entry.hello.worker is not None]

    def _is_alive(self, entry: AgentEntry) -> bool:
        return self.now_s() < entry.heard_s + self.lease_s

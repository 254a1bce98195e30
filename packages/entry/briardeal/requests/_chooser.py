"""Choice of an endpoint for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from briardeal.requests._endpoint_health import EndpointHealth, HealthState

if TYPE_CHECKING:
    import random

    from briardeal.membership import AgentEntry

SAMPLE_SIZE = 16
"""Most endpoints that are compared for one request."""


class EndpointChooser(Protocol):
    """Chooses among the endpoints of a service."""

    def choose(self, agents: list[AgentEntry], may_probe: bool) -> AgentEntry | None:
        """Return one of the agents; an endpoint on trial only where `may_probe`."""


class RegionalChooser:
    """Prefers the region of the caller, then the least loaded endpoint; equals by chance.

    Parameters
    ----------
    region
        Region of this entry.
    health
        Evidence on failures.
    rng
        Source of chance.
    """

    def __init__(self, region: str, health: EndpointHealth, rng: random.Random) -> None:
        self.region = region
        self.health = health
        self.rng = rng

    def choose(self, agents: list[AgentEntry], may_probe: bool) -> AgentEntry | None:
        """Return one of the agents; an endpoint on trial only where `may_probe`.

        An endpoint that was taken out is still used where there is no other.
        """
        standings = [(agent, self.health.standing(endpoint_name(agent))) for agent in agents]
        probes = [agent for agent, standing in standings if standing is HealthState.PROBE]
        if probes and may_probe:
            return probes[0]
        usable = [agent for agent, standing in standings if standing is HealthState.IN]
        near = [agent for agent in usable if agent.hello.region == self.region]
        pool = near or usable or agents
        sample = self.rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
        return min(sample, key=self._cost, default=None)

    def _cost(self, agent: AgentEntry) -> float:
        # A fast failure frees its slot at once, so that load alone would draw requests to it.
        return agent.load + self.health.failure_rate(endpoint_name(agent))


def endpoint_name(agent: AgentEntry) -> str:
    """Return a name that each incarnation of an endpoint has for itself."""
    incarnation = 0 if agent.endpoint is None else agent.endpoint.incarnation
    return f"{agent.agent_id}/{incarnation}"

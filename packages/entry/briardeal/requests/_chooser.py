"""Choice of the endpoint for a request."""

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
        """Return the agent of the chosen endpoint, or `None` if there are no agents.

        An ejected endpoint is probed only if `may_probe`.
        """


class RegionalChooser:
    """Prefers endpoints of this entry's region, then the least loaded; breaks ties at random.

    Parameters
    ----------
    region
        Region of this entry.
    health
        Failure rates and ejections of endpoints.
    rng
        Random number generator.
    """

    def __init__(self, region: str, health: EndpointHealth, rng: random.Random) -> None:
        self.region = region
        self.health = health
        self.rng = rng

    def choose(self, agents: list[AgentEntry], may_probe: bool) -> AgentEntry | None:
        """Return the agent of the chosen endpoint, or `None` if there are no agents.

        An ejected endpoint is probed only if `may_probe`. If all endpoints are ejected, one of
        them is chosen.
        """
        states = [(agent, self.health.state(endpoint_name(agent))) for agent in agents]
        probes = [agent for agent, state in states if state is HealthState.PROBE]
        if probes and may_probe:
            return probes[0]
        usable = [agent for agent, state in states if state is HealthState.HEALTHY]
        regional = [agent for agent in usable if agent.hello.region == self.region]
        pool = regional or usable or agents
        sample = self.rng.sample(pool, min(SAMPLE_SIZE, len(pool)))
        return min(sample, key=self._score, default=None)

    def _score(self, agent: AgentEntry) -> float:
        # An endpoint that fails fast frees its slots fast, so that a choice by load alone would
        # prefer it.
        return agent.load + self.health.failure_rate(endpoint_name(agent))


def endpoint_name(agent: AgentEntry) -> str:
    """Return a name that is unique to this incarnation of the agent's endpoint."""
    incarnation = 0 if agent.endpoint is None else agent.endpoint.incarnation
    return f"{agent.agent_id}/{incarnation}"

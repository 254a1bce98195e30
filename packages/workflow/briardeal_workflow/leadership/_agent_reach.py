"""Comparison of the agents that an entry hears with those that the owner hears."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time

if TYPE_CHECKING:
    from collections.abc import Callable

OWNER_TIMEOUT_S = 1.2
"""Silence of the owner after which other entries claim the ownership; the owner sends a heartbeat
every 0.3 s, and agents say every 0.4 s when it last acknowledged a message of theirs."""

MINORITY_TIMEOUT_S = 4.8
"""The same for an entry that hears less than half of the agents that the owner may send orders to,
as the owner may be serving the others. Doubles with each such claim until the owner is heard."""

NO_AGENTS_TIMEOUT_S = 24.0
"""The same for an entry that hears no agent, and so could order nothing."""

LONGEST_TIMEOUT_S = 192.0
"""Limit of the times that double."""

MAX_UNHEARD_S = 2.0
"""Time for which an entry hears more than twice as many agents as the owner before it claims;
agents connect to an entry within 1.8 s of its start or of the end of a cut."""

LONGEST_UNHEARD_S = 24.0
"""Limit of that time, which doubles with each owner that is replaced for this cause."""


@attrs.frozen
class HeardAgents:
    """Agents that an entry hears, and what they say about the owner.

    Parameters
    ----------
    count
        Number of agents that the entry hears.
    owner_seen_s
        Time until which more than half of them were served by the owner, on the loop's clock.
    """

    count: int
    owner_seen_s: float = -math.inf


class AgentReach:
    """Compares the agents that an entry and the owner hear, which decides when the entry claims.

    Parameters
    ----------
    hear_agents
        Returns which agents the entry hears.

    Attributes
    ----------
    unheard_s, max_unheard_s
        Time up to the newest heartbeat of the owner for which the entry has heard more than twice
        as many agents as the owner, and time after which it claims.
    minority_timeout_s
        Silence of the owner after which the entry claims although it hears few agents.
    """

    def __init__(self, hear_agents: Callable[[], HeardAgents]) -> None:
        self.hear_agents = hear_agents
        self.unheard_s = 0.0
        self.max_unheard_s = MAX_UNHEARD_S
        self.minority_timeout_s = MINORITY_TIMEOUT_S
        self._unheard_since_s: float | None = None

    def restart(self) -> None:
        """Compare with a new owner."""
        self._unheard_since_s = None
        self.unheard_s = 0.0

    def compare(self, owner_count: int, owner_age_s: float) -> None:
        """Compare the number of agents that the owner hears, as its heartbeat says.

        Parameters
        ----------
        owner_count
            Number of agents that the owner hears; -1 if unknown.
        owner_age_s
            Time since the claim of the owner, in seconds.
        """
        self.minority_timeout_s = MINORITY_TIMEOUT_S
        if owner_count < 0 or self.hear_agents().count <= 2 * owner_count:
            self.restart()
            if owner_age_s > LONGEST_UNHEARD_S:
                self.max_unheard_s = MAX_UNHEARD_S
            return
        now_s = loop_time()
        if self._unheard_since_s is None:
            self._unheard_since_s = now_s
        self.unheard_s = now_s - self._unheard_since_s

    def silence_limit_s(self, heard_count: int, agent_count: int) -> float:
        """Return the silence of the owner after which an entry claims.

        Parameters
        ----------
        heard_count, agent_count
            Number of agents that the entry hears, and of those that the owner may send orders to.
        """
        if heard_count == 0:
            return max(self.minority_timeout_s, NO_AGENTS_TIMEOUT_S)
        return self.minority_timeout_s if 2 * heard_count < agent_count else OWNER_TIMEOUT_S

    def lengthen_silence_limit(self, heard_count: int, agent_count: int) -> None:
        """Double the limit after a claim for silence, if the entry hears few agents."""
        limit_s = self.silence_limit_s(heard_count, agent_count)
        if limit_s > OWNER_TIMEOUT_S:
            self.minority_timeout_s = min(2 * limit_s, LONGEST_TIMEOUT_S)

    def lengthen_unheard_time(self) -> None:
        """Double the time after a claim because the owner hears few agents."""
        self.max_unheard_s = min(2 * self.max_unheard_s, LONGEST_UNHEARD_S)

"""State of agents, as the owner knows it."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class AgentState:
    """State of an agent, as the owner knows it.

    Attributes
    ----------
    incarnation
        Incarnation of the agent's worker.
    ends_received, ends_stored
        Position of the newest completed attempt of this incarnation that was received, and of the
        newest that is stored.
    last_received_s
        When the newest message of the agent was received, on the loop's clock.
    reported
        Whether the agent has reported the tasks of its worker since this owner started.
    worker_reachable
        Whether the agent can reach its worker.
    order_sent_s
        When the newest order was sent, by task and attempt number.
    """

    incarnation: str = ""
    ends_received: int = 0
    ends_stored: int = 0
    last_received_s: float = 0.0
    reported: bool = False
    worker_reachable: bool = False
    order_sent_s: dict[tuple[object, int], float] = attrs.field(factory=dict)

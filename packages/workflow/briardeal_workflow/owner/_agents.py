"""State of agents, as the owner knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Set

    from briardeal_workflow.model import TaskId


@attrs.define(eq=False)
class AgentState:
    """State of an agent, as the owner knows it.

    Attributes
    ----------
    incarnation, generation
        Incarnation of the agent's worker, and the number of those before it that this owner knew.
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
        When the newest order was sent, by task and attempt number, for attempts that have not
        ended.
    """

    incarnation: str = ""
    generation: int = 0
    ends_received: int = 0
    ends_stored: int = 0
    last_received_s: float = 0.0
    reported: bool = False
    worker_reachable: bool = False
    order_sent_s: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)

    def forget_orders(self, active: Set[tuple[TaskId, int]]) -> None:
        """Forget when orders were sent for attempts other than the given ones."""
        for key in self.order_sent_s.keys() - active:
            del self.order_sent_s[key]

"""What the owner knows of agents."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class AgentState:
    """What the owner knows of an agent.

    Attributes
    ----------
    incarnation
        That of its worker.
    ends_taken, ends_kept
        Newest end of this incarnation that was taken over, and the newest that is kept.
    heard_s
        When it was last heard, on the loop's clock.
    reported
        Whether it has told under this epoch what its worker runs.
    present
        Whether its worker answers it.
    sent_s
        When an order was last given, by task and number of the start.
    """

    incarnation: str = ""
    ends_taken: int = 0
    ends_kept: int = 0
    heard_s: float = 0.0
    reported: bool = False
    present: bool = False
    sent_s: dict[tuple[object, int], float] = attrs.field(factory=dict)

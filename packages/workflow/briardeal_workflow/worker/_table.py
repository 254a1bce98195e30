"""What the worker runs, as its agent knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.control import ListedTask

if TYPE_CHECKING:
    from briardeal_workflow.control import EndedTask
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._port import Listing


@attrs.define(eq=False)
class Table:
    """Tasks of one incarnation of the worker.

    Attributes
    ----------
    running
        What runs, by task and number of the start.
    ended
        Ends that are not known to be kept.
    clock_s
        The worker's clock when it was last read.
    started
        Starts that were confirmed and not listed yet, with the worker's clock of the answer.
    """

    running: dict[tuple[TaskId, int], ListedTask] = attrs.field(factory=dict)
    ended: tuple[EndedTask, ...] = ()
    clock_s: float = float("-inf")
    started: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)

    def note_started(self, task: TaskId, number: int, clock_s: float) -> None:
        """Note a start that the worker has confirmed."""
        self.started[task, number] = clock_s

    def take(self, listing: Listing) -> bool:
        """Take over lists and return whether tasks came, ended or went.

        Answers may overtake each other; an older one has no effect.
        """
        if listing.clock_s < self.clock_s:
            return False
        self.clock_s = listing.clock_s
        running = {(row.task, row.number): row for row in listing.running}
        changed = running.keys() != self.running.keys() or listing.ended != self.ended
        self.running, self.ended = running, listing.ended
        for key, clock_s in list(self.started.items()):
            if clock_s < listing.clock_s:
                del self.started[key]
        return changed

    def rows(self) -> tuple[ListedTask, ...]:
        """Return all that runs, what was only just started included."""
        fresh = (ListedTask(*key, "", 0, 0.0) for key in self.started if key not in self.running)
        return (*self.running.values(), *fresh)

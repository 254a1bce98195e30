"""Tasks of a worker as its agent knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.control import ListedTask

if TYPE_CHECKING:
    from briardeal_workflow.control import EndedTask
    from briardeal_workflow.model import TaskId
    from briardeal_workflow.worker._interface import Listing


@attrs.define(eq=False)
class TaskTable:
    """Tasks of one incarnation of the worker.

    Attributes
    ----------
    running
        Running tasks by task and number of the attempt.
    ended
        Ended attempts that the owner has not acknowledged as stored yet.
    clock_s
        The worker's clock when it made the newest lists, in seconds.
    confirmed
        Attempts whose start the worker has confirmed and that no list contains yet, with the
        worker's clock at the confirmation.
    """

    running: dict[tuple[TaskId, int], ListedTask] = attrs.field(factory=dict)
    ended: tuple[EndedTask, ...] = ()
    clock_s: float = float("-inf")
    confirmed: dict[tuple[TaskId, int], float] = attrs.field(factory=dict)

    def record_start(self, task: TaskId, number: int, clock_s: float) -> None:
        """Record an attempt whose start the worker has confirmed."""
        self.confirmed[task, number] = clock_s

    def update(self, listing: Listing) -> bool:
        """Replace the lists and return whether the running tasks or ended attempts have changed.

        Answers may arrive out of order; one that is older than the newest is ignored.
        """
        if listing.clock_s < self.clock_s:
            return False
        self.clock_s = listing.clock_s
        running = {(row.task, row.number): row for row in listing.running}
        changed = running.keys() != self.running.keys() or listing.ended != self.ended
        self.running, self.ended = running, listing.ended
        for key, clock_s in list(self.confirmed.items()):
            if clock_s < listing.clock_s:
                del self.confirmed[key]
        return changed

    def running_tasks(self) -> tuple[ListedTask, ...]:
        """Return all running tasks, including confirmed attempts that no list contains yet."""
        unlisted = (
            ListedTask(*key, "", 0, 0.0) for key in self.confirmed if key not in self.running
        )
        return (*self.running.values(), *unlisted)

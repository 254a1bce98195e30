"""Reports of live tasks, in answer to which entries confirm that gangs are complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_agent.tasks._member import MEMBER_TTL_S
from briardeal_protocol.messages import Tasks

if TYPE_CHECKING:
    from briardeal_agent.tasks._table import TaskTable
    from briardeal_protocol.messages import GangsWhole

REPORT_INTERVAL_S = 5.0
PENDING_REPORT_LIMIT = 16
"""Number of newest reports that can still be confirmed."""


class TaskReporter:
    """Numbers reports of live tasks and applies the confirmations received for them.

    A confirmation is valid from the time at which its report was sent, so that a delayed answer
    extends nothing.

    Parameters
    ----------
    table
        Members on this worker.
    """

    def __init__(self, table: TaskTable) -> None:
        self.table = table
        self.sequence = 0
        self.sent_s: dict[int, float] = {}
        self.next_s = 0.0

    def next_report(self) -> Tasks | None:
        """Return a report if one is due and any task is live."""
        now_s = self.table.now_s()
        live = self.table.live_task_ids()
        if now_s < self.next_s or not live:
            return None
        self.next_s = now_s + REPORT_INTERVAL_S
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        self.sent_s.pop(self.sequence - PENDING_REPORT_LIMIT, None)
        return Tasks(tasks=(), fence=self.table.fence, sequence=self.sequence, live=live)

    def apply_confirmation(self, message: GangsWhole) -> None:
        """Extend the run time of the tasks that an entry confirms."""
        sent_s = self.sent_s.get(message.sequence)
        if sent_s is None:
            return
        for member in self.table.members.values():
            if member.live and member.platform_task.task_id in message.tasks:
                member.confirm(sent_s + MEMBER_TTL_S)

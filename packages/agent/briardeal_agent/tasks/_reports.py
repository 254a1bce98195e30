"""Reports of live tasks, on which entries confirm that gangs are whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_agent.tasks._member import MEMBER_TTL_S
from briardeal_protocol.messages import Tasks

if TYPE_CHECKING:
    from briardeal_agent.tasks._table import TaskTable
    from briardeal_protocol.messages import GangsWhole

REPORT_INTERVAL_S = 5.0
REPORT_LIMIT = 16


class TaskReporter:
    """Numbers reports and takes the answers to them.

    A confirmation counts from the sending of the report that it answers, so that an answer held up
    on its way extends nothing.

    Parameters
    ----------
    table
        The members.
    """

    def __init__(self, table: TaskTable) -> None:
        self.table = table
        self.sequence = 0
        self.sent_s: dict[int, float] = {}
        self.next_s = 0.0

    def due(self) -> Tasks | None:
        """Return the next report if it is time for one and there is anything to report."""
        now_s = self.table.now_s()
        live = self.table.live_names()
        if now_s < self.next_s or not live:
            return None
        self.next_s = now_s + REPORT_INTERVAL_S
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        self.sent_s.pop(self.sequence - REPORT_LIMIT, None)
        return Tasks(tasks=(), fence=self.table.fence, sequence=self.sequence, live=live)

    def confirm(self, message: GangsWhole) -> None:
        """Take an answer to a report."""
        sent_s = self.sent_s.get(message.sequence)
        if sent_s is None:
            return
        for member in self.table.members.values():
            if member.live and member.platform.task_id in message.tasks:
                member.confirm(sent_s + MEMBER_TTL_S)

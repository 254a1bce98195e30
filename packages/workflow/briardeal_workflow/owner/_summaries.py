"""Summaries of the owner's work for the entries that accept jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_workflow.admission import AdmissionSummary
    from briardeal_workflow.planning import Planner

SUMMARY_INTERVAL_S = 1.0
"""Interval between summaries; entries use them for 3 s, so that two may be lost."""


class SummarySource:
    """Makes summaries at intervals, and keeps the newest.

    Parameters
    ----------
    planner
        Planner to sum up.
    enabled
        Whether summaries are made at all.

    Attributes
    ----------
    newest
        Newest summary; `None` if there is none.
    """

    def __init__(self, planner: Planner, *, enabled: bool) -> None:
        self.planner = planner
        self.enabled = enabled
        self.newest: AdmissionSummary | None = None
        self._made_s = float("-inf")

    def update(self, now_s: float, wall_s: float) -> None:
        """Make a new summary if the last one was made long enough ago.

        It is called after each planning round, so that an owner that may not plan makes none.
        """
        if self.enabled and now_s - self._made_s >= SUMMARY_INTERVAL_S:
            self._made_s = now_s
            self.newest = self.planner.summarize(now_s, wall_s)

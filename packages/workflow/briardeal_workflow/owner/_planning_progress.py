"""Progress of the planner while this entry owns the jobs."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from briardeal_workflow.leadership import Election
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.store import Follower

CHECK_INTERVAL_S = 0.5
"""Interval between checks whether the planner makes progress."""

MAX_ROUND_AGE_S = 1.0
"""Age of the newest planning round beyond which it is logged; rounds follow every 0.25 s."""

TOLERATED_JOBS_AGE_S = 2.5
"""Age of the jobs read that counts as no trouble of the owner. A read without an answer and its
repetition through another entry make them up to 3.6 s old, which must not cause a claim."""

LOG_INTERVAL_S = 5.0
"""Interval between lines about a planner that goes on waiting for the same."""


class PlanningProgress:
    """Records when the owner last completed a planning round, and what it waits for.

    Parameters
    ----------
    election, follower, metrics
        Election that says whether this entry is the owner, reader of jobs, and metrics to update.

    Attributes
    ----------
    waits_for
        What the owner waits for now; empty between planning rounds.
    """

    def __init__(self, election: Election, follower: Follower, metrics: WorkflowMetrics) -> None:
        self.election = election
        self.follower = follower
        self.metrics = metrics
        self.waits_for = ""
        self._round_epoch = 0
        self._round_s = float("-inf")
        self._logged_s = float("-inf")
        self._logged_wait = ""
        self._logged_epoch = 0

    def record_round(self, epoch: int) -> None:
        """Record a planning round that the owner with this fencing token has completed."""
        self._round_epoch = epoch
        self._round_s = loop_time()
        self.waits_for = ""

    def round_age_s(self) -> float:
        """Return the time since the newest round under the current claim, in seconds.

        Counts from the claim before the first round, and is 0 on an entry that is not the owner.
        """
        election = self.election
        if not election.is_owner:
            return 0.0
        completed = self._round_epoch == election.epoch
        return loop_time() - (self._round_s if completed else election.claimed_s)

    def idle_s(self) -> float:
        """Return for how long the owner has planned nothing or has not learned of new jobs.

        It is 0 on an entry that is not the owner.
        """
        if not self.election.is_owner:
            return 0.0
        unread_s = 0.0
        if self.follower.caught_up.is_set():
            unread_s = self.follower.age_s - TOLERATED_JOBS_AGE_S
        return max(self.round_age_s(), unread_s)

    async def run(self) -> None:
        """Log when the planner makes no progress, and update the metrics, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            age_s = self.round_age_s()
            self.metrics.planning_age_s.set({}, age_s)
            if math.isfinite(self.follower.age_s):
                self.metrics.jobs_age_s.set({}, self.follower.age_s)
            if age_s > MAX_ROUND_AGE_S:
                self._log_wait(age_s)
            else:
                self._log_end()

    def _log_wait(self, age_s: float) -> None:
        now_s = loop_time()
        epoch = self.election.epoch
        known = (self._logged_epoch, self._logged_wait) == (epoch, self.waits_for)
        if known and now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s, self._logged_wait, self._logged_epoch = now_s, self.waits_for, epoch
        log_event(
            Event.PLANNING_STALLED,
            epoch=epoch,
            for_s=round(age_s, 3),
            waits_for=self.waits_for,
            jobs_age_s=round(self.follower.age_s, 3) if self.follower.caught_up.is_set() else None,
        )

    def _log_end(self) -> None:
        if self._logged_epoch and self._logged_epoch == self._round_epoch:
            log_event(Event.PLANNING_RESUMED, epoch=self._round_epoch)
        self._logged_epoch = 0

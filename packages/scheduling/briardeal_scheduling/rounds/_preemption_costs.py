"""Cost of preempting a job, and which jobs may be preempted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.jobs import EARLIER_LOSS_FACTOR
from briardeal_scheduling.queue import JobPhase
from briardeal_scheduling.rounds._job_placer import CHECKPOINT_LIMIT_S

if TYPE_CHECKING:
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._state import SchedulerState

MIN_RUN_S = 60.0
"""Time that an attempt must have run before it may be preempted for a gang, in seconds."""

MAX_MIN_RUN_DOUBLINGS = 3
"""Most doublings of `MIN_RUN_S`, which doubles with each preemption of the job."""

LONGER_REMAINING_FACTOR = 3.0
"""Ratio of remaining run times above which a job as large as a gang is preempted for it."""


@attrs.frozen
class _GangVictim:
    """A job that may be preempted for a gang, with its remaining run time and its cost."""

    accelerators: int
    remaining_s: float
    cost: float


class PreemptionCosts:
    """Preemption costs in one round, in accelerator seconds; `None` if preemption is forbidden."""

    def __init__(self, state: SchedulerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.victims: dict[str, _GangVictim | None] = {}

    def for_guarantee(self, job_id: str) -> float | None:
        """Return the cost of reclaiming borrowed VMs from a job: the work lost now and earlier.

        By the work lost now alone, a job that has just been restarted would always be the cheapest
        one to preempt.
        """
        job = self.state.table.jobs[job_id]
        if not self._is_borrowing(job):
            return None
        lost_s = job.unsaved_s(self.now_s) + EARLIER_LOSS_FACTOR * job.lost_run_s
        return lost_s * job.accelerators

    def for_urgent(self, job_id: str) -> float | None:
        """Return the cost of preempting a job for an urgent one outside any guarantee."""
        if self.state.table.jobs[job_id].urgent:
            return None
        return self.for_guarantee(job_id)

    def for_gang(self, job_id: str, gang: Job, gang_remaining_s: float) -> float | None:
        """Return the cost of a checkpoint if a job is smaller than the gang or runs much longer."""
        if job_id not in self.victims:
            self.victims[job_id] = self._examine_victim(self.state.table.jobs[job_id])
        victim = self.victims[job_id]
        if victim is None or self.state.table.jobs[job_id].preempt_mode:
            return None
        smaller = victim.accelerators < gang.accelerators
        longer = victim.remaining_s > LONGER_REMAINING_FACTOR * gang_remaining_s
        return victim.cost if smaller or longer else None

    def _examine_victim(self, job: Job) -> _GangVictim | None:
        """Return a job as a possible victim of a gang, or `None` if it may not be preempted."""
        if not self._is_borrowing(job) or job.urgent or job.phase is not JobPhase.RUNNING:
            return None
        doublings = min(job.preemptions, MAX_MIN_RUN_DOUBLINGS)
        if self.now_s - job.started_s < MIN_RUN_S * 2**doublings:
            return None
        request = job.request
        prediction = self.state.predict_run_time(job, self.now_s)
        remaining_s = prediction.remaining_s(job.elapsed_s(self.now_s))
        checkpoint_s = self.state.history.checkpoint_p90_s(request.customer, request.job_class)
        cost = min(CHECKPOINT_LIMIT_S, checkpoint_s) * job.accelerators
        return _GangVictim(job.accelerators, remaining_s, cost)

    def _is_borrowing(self, job: Job) -> bool:
        claimed = job.job_id in self.state.ledger.guarantee_by_job
        return job.preemptible and not claimed and not job.preempt_mode

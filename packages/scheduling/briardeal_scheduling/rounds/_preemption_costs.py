"""What it costs to take VMs back from running work, and from which work it may be done."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling.queue import JobPhase
from briardeal_scheduling.rounds._job_placer import CHECKPOINT_LIMIT_S

if TYPE_CHECKING:
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._state import SchedulerState

MIN_RUN_S = 60.0
"""Time for which work runs before it has to make room for a gang."""

MAX_MIN_RUN_DOUBLINGS = 3
"""How often that time doubles, once for each time that the work had to leave."""

LONGER_REMAINING_FACTOR = 3.0
"""How much longer work of the same size must have left to make room for a gang."""


@attrs.frozen
class _GangVictim:
    """A job that may be asked to leave: its size, its run time to go, and what it would cost."""

    accelerators: int
    remaining_s: float
    cost: float


class PreemptionCosts:
    """Costs of preemption at one moment, in accelerator seconds; `None` where it is not allowed."""

    def __init__(self, state: SchedulerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.victims: dict[str, _GangVictim | None] = {}

    def for_guarantee(self, job_id: str) -> float | None:
        """Return the cost of taking back what a guarantee lent to a job."""
        job = self.state.table.jobs[job_id]
        if not self._is_borrowing(job):
            return None
        return job.unsaved_s(self.now_s) * job.accelerators

    def for_urgent(self, job_id: str) -> float | None:
        """Return the cost of stopping a job for an urgent one outside any guarantee."""
        if self.state.table.jobs[job_id].urgent:
            return None
        return self.for_guarantee(job_id)

    def for_gang(self, job_id: str, gang: Job, gang_remaining_s: float) -> float | None:
        """Return the cost of a checkpoint, for work that is smaller or has much longer to go."""
        if job_id not in self.victims:
            self.victims[job_id] = self._examine_victim(self.state.table.jobs[job_id])
        victim = self.victims[job_id]
        if victim is None or self.state.table.jobs[job_id].preempt_mode:
            return None
        smaller = victim.accelerators < gang.accelerators
        longer = victim.remaining_s > LONGER_REMAINING_FACTOR * gang_remaining_s
        return victim.cost if smaller or longer else None

    def _examine_victim(self, job: Job) -> _GangVictim | None:
        """Return what is to be known of a job that may be asked to leave, once in a round."""
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

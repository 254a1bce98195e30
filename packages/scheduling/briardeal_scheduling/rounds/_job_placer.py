"""Starting and preempting jobs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.decisions import Cause, Placement, Preempt, PreemptMode, Start
from briardeal_scheduling.queue import JobPhase

if TYPE_CHECKING:
    from collections.abc import Collection

    from briardeal_scheduling.decisions import Decision
    from briardeal_scheduling.queue import Job
    from briardeal_scheduling.rounds._state import SchedulerState

CHECKPOINT_LIMIT_S = 60.0
"""Time for a preempted job to write its checkpoint, in seconds.

It is shorter if an urgent job needs the VMs.
"""

URGENT_START_RESERVE_S = 0.4
"""Part of an urgent job's start target for stopping its victims and starting it, in seconds."""


class JobPlacer:
    """Starts and preempts jobs, updates the state and collects the decisions of a round.

    Parameters
    ----------
    state
        State of the scheduler, updated with every decision.
    now_s
        Current time, in seconds.
    """

    def __init__(self, state: SchedulerState, now_s: float) -> None:
        self.state = state
        self.now_s = now_s
        self.decisions: list[Decision] = []

    def place(
        self,
        job: Job,
        workers: Collection[str],
        started: Cause,
        victims: Collection[str] = (),
        preempted: Cause = Cause.PREEMPTED_FOR_TARGET,
    ) -> None:
        """Start a job on free VMs, or preempt others and assign their VMs to it.

        Parameters
        ----------
        job, workers
            The job, and one VM for each of its tasks.
        started
            Cause recorded if it starts at once.
        victims, preempted
            Jobs to preempt first, and the cause recorded for them.
        """
        accelerators = job.request.accelerators_per_task
        placement = Placement(tuple(workers), accelerators)
        if all(self.state.fleet.workers[vm].free_accelerators >= accelerators for vm in workers):
            self.state.occupy(job, placement)
            self._start_job(job, started)
            return
        limit_s = self._checkpoint_limit_s(job)
        self._advance_checkpoint_deadlines(placement.workers, limit_s)
        for job_id in sorted(victims):
            self._preempt_victim(self.state.table.jobs[job_id], job, limit_s, preempted)
        self.state.assign_pending(job, placement)
        until_s = self.now_s + limit_s
        job.record.add(self.now_s, Cause.WAITS_FOR_RECLAIM, until_s, victims=len(victims))

    def start_reclaimed(self) -> None:
        """Start the jobs in phase `RECLAIMING` whose VMs are free now, urgent ones first."""
        reclaiming = sorted(self.state.table.reclaiming.values(), key=lambda job: not job.urgent)
        for job in reclaiming:
            if self._vms_are_free(job):
                self.state.occupy_pending(job)
                self._start_job(job, Cause.STARTED_AFTER_RECLAIM)

    def stop_slow_checkpoints(self) -> None:
        """Stop preempted jobs that have missed the deadline of their checkpoint."""
        for job in list(self.state.table.stopping.values()):
            if (
                job.preempt_mode is PreemptMode.CHECKPOINT
                and job.checkpoint_deadline_s <= self.now_s
            ):
                self._order_preemption(job, PreemptMode.STOP, math.inf, Cause.CHECKPOINT_TOO_SLOW)

    def _vms_are_free(self, job: Job) -> bool:
        """Return whether a job's VMs are free.

        An urgent job ignores what is assigned there to other jobs in phase `RECLAIMING`.
        """
        for worker_id in job.placement.workers:
            worker = self.state.fleet.workers[worker_id]
            free = worker.free_accelerators + (
                worker.pending - job.placement.accelerators if job.urgent else 0
            )
            if free < 0:
                return False
        return True

    def _start_job(self, job: Job, cause: Cause) -> None:
        job.phase = JobPhase.STARTING
        job.attempt += 1
        job.reservation = None
        self.state.table.reindex(job)
        first = job.placement.workers[0]
        entry = job.record.add(
            self.now_s,
            cause,
            vms=len(job.placement.workers),
            place=self.state.fleet.groups[first][Adjacency.RACK].path,
            customer=job.request.customer,
        )
        explanation = entry.format_sentence(self.now_s)
        self.decisions.append(Start(job.job_id, job.attempt, job.placement, explanation))

    def _advance_checkpoint_deadlines(self, workers: Collection[str], limit_s: float) -> None:
        """Shorten the checkpoint deadlines of jobs that are leaving the VMs of a new job."""
        checkpoint_deadline_s = self.now_s + limit_s
        for job in self.state.table.stopping.values():
            if job.checkpoint_deadline_s > checkpoint_deadline_s and set(workers) & set(
                job.placement.workers
            ):
                job.checkpoint_deadline_s = checkpoint_deadline_s

    def _checkpoint_limit_s(self, job: Job) -> float:
        if not job.urgent:
            return CHECKPOINT_LIMIT_S
        remaining_s = job.accepted_s + job.job_class.start_within_s - self.now_s
        return max(0.0, remaining_s - URGENT_START_RESERVE_S)

    def _preempt_victim(self, victim: Job, job: Job, limit_s: float, cause: Cause) -> None:
        request = victim.request
        checkpoint_s = self.state.history.checkpoint_p90_s(request.customer, request.job_class)
        in_time = checkpoint_s <= limit_s or not job.urgent
        mode = PreemptMode.CHECKPOINT if in_time else PreemptMode.STOP
        checkpoint_deadline_s = self.now_s + limit_s if in_time else math.inf
        self._order_preemption(
            victim, mode, checkpoint_deadline_s, cause, customer=job.request.customer
        )

    def _order_preemption(
        self,
        job: Job,
        mode: PreemptMode,
        checkpoint_deadline_s: float,
        cause: Cause,
        **fields: object,
    ) -> None:
        if job.preempt_mode is None:
            job.preempted_at_s = self.now_s
            job.preemptions += 1
            self.state.fleet.count_leaving(job.placement)
        if mode is PreemptMode.STOP and job.preempt_mode is not PreemptMode.STOP:
            job.lost_run_s += job.unsaved_s(self.now_s)
        job.preempt_mode = mode
        job.checkpoint_deadline_s = checkpoint_deadline_s
        self.state.table.reindex(job)
        entry = job.record.add(self.now_s, cause, **fields)
        self.decisions.append(Preempt(job.job_id, mode, entry.format_sentence(self.now_s)))

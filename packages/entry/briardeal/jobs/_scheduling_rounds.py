"""Scheduling rounds within one term of ownership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal.jobs._gang_client import Gang
from briardeal.jobs._ownership_term import CANCELLED_WHY
from briardeal.jobs._worker_registry import LIVE_STATES
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.reasons import Reason
from briardeal_protocol.messages import StopMode
from briardeal_scheduling import Abandon, Preempt, Start

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.jobs._job_table import JobTable
    from briardeal.jobs._ownership_term import OwnershipTerm
    from briardeal.jobs._worker_registry import WorkerAgent
    from briardeal_core.reasons import Refusal
    from briardeal_protocol.messages import TaskStatus
    from briardeal_scheduling import Decision

WORKER_GRACE_S = 10.0
"""How long a worker may be unreachable before the scheduler stops placing jobs on it."""


class SchedulingRounds:
    """Reports changes to the scheduler and carries out its decisions.

    Parameters
    ----------
    term
        The term of ownership.
    job_table
        State of all jobs, read from the log.
    region
        Region that this entry owns.
    count_peak_workers
        Returns the highest recent number of workers of the region.
    """

    def __init__(
        self,
        term: OwnershipTerm,
        job_table: JobTable,
        region: str,
        count_peak_workers: Callable[[], int],
    ) -> None:
        self.term = term
        self.scheduler = term.scheduler
        self.registry = term.context.registry
        self.job_table = job_table
        self.region = region
        self.count_peak_workers = count_peak_workers
        self._workers: set[str] = set()
        self._submitted: set[str] = set()
        self._cancelled: set[str] = set()
        self._checked_agents: set[WorkerAgent] = set()
        self._checkpoints: dict[str, tuple[str, ...]] = {}

    def adopt_all(self) -> None:
        """Take over the running attempts that the log records or the agents report."""
        self._add_workers()
        newest = self.registry.newest_attempts()
        for view in self.job_table.active_in_region(self.region):
            status = newest.get(view.job.job_id)
            if status is not None and status.attempt > view.attempt:
                self.term.adopt_unrecorded(view, status)
            elif view.has_open_attempt:
                self.term.adopt_recorded(view)
            else:
                continue
            self._submitted.add(view.job.job_id)

    def run_round(self, may_start: bool) -> None:
        """Run one round; the scheduler is asked for decisions only if jobs may be started."""
        self._add_workers()
        self._remove_lost_workers()
        self._check_new_inventories()
        self._submit_new_jobs()
        self._apply_cancellations()
        self._report_checkpoints()
        if may_start:
            for decision in self.scheduler.decide(loop_time()):
                self._execute(decision)

    def _add_workers(self) -> None:
        for worker_id, agent in self.registry.agents.items():
            if worker_id not in self._workers and agent.inventory_complete:
                self._workers.add(worker_id)
                self.scheduler.worker_up(agent.shape, loop_time())

    def _remove_lost_workers(self) -> None:
        """Remove workers that are unreachable and that no attempt uses any more."""
        now_s = loop_time()
        lost = self._workers - self.registry.agents.keys()
        attempts = self.term.attempts.values() if lost else ()
        used = {worker for attempt in attempts for worker in attempt.gang.workers}
        for worker_id in lost - used:
            if now_s >= self.registry.lost_at_s.setdefault(worker_id, now_s) + WORKER_GRACE_S:
                self._workers.remove(worker_id)
                self.scheduler.worker_down(worker_id, now_s)

    def _check_new_inventories(self) -> None:
        """Check the tasks of each newly connected agent once its inventory is complete."""
        for agent in list(self.registry.agents.values()):
            if agent.inventory_complete and agent not in self._checked_agents:
                self._checked_agents.add(agent)
                for status in list(agent.tasks.values()):
                    self._adopt_or_stop(agent, status)
        self._checked_agents &= set(self.registry.agents.values())

    def _adopt_or_stop(self, agent: WorkerAgent, status: TaskStatus) -> None:
        attempt = self.term.attempts.get(status.job_id)
        if attempt is not None and attempt.gang.attempt == status.attempt:
            return
        view = self.job_table.jobs.get(status.job_id)
        if view is None or view.region != self.region:
            return
        is_newer = not view.ended and status.attempt > self.term.retry_state(view).attempt
        if is_newer and status.ran and attempt is None:
            self.term.adopt_unrecorded(view, status)
            self._submitted.add(status.job_id)
        elif status.state in LIVE_STATES:
            self._stop_stray_task(agent, status)

    def _stop_stray_task(self, agent: WorkerAgent, status: TaskStatus) -> None:
        log_event(Event.STRAY_STOPPED, job=status.job_id, attempt=status.attempt)
        view = self.job_table.jobs[status.job_id]
        gang = Gang(view.job, status.attempt, (agent.entry.agent_id,), self.term.token)
        self.term.spawn(self.term.context.gang_client.stop(gang))

    def _submit_new_jobs(self) -> None:
        for view in self.job_table.active_in_region(self.region):
            job_id = view.job.job_id
            if job_id in self._submitted:
                continue
            refusal = self.scheduler.submit(view.job, loop_time())
            if refusal is not None and self._may_fit_later(refusal):
                continue
            self._submitted.add(job_id)
            if refusal is not None:
                self.term.metrics.count_refusal(refusal.reason)
                log_event(Event.JOB_REFUSED, job=job_id, reason=refusal.reason.code)
                self.term.end_job(job_id, JobState.REFUSED, refusal.sentence)

    def _may_fit_later(self, refusal: Refusal) -> bool:
        """Return whether the job may fit once all workers are reachable again."""
        missing = len(self._workers) < self.count_peak_workers()
        return missing and refusal.reason is Reason.JOB_NEVER_FITS

    def _apply_cancellations(self) -> None:
        for view in self.job_table.active_in_region(self.region):
            job_id = view.job.job_id
            if not view.cancelled or job_id in self._cancelled:
                continue
            self._cancelled.add(job_id)
            self.scheduler.cancel(job_id, loop_time())
            if job_id in self.term.attempts:
                self.term.attempts[job_id].cancel()
            else:
                self.term.end_job(job_id, JobState.CANCELLED, CANCELLED_WHY)

    def _report_checkpoints(self) -> None:
        """Report new checkpoints of running gangs to the scheduler."""
        newest = {
            job_id: attempt.state.checkpoints
            for job_id, attempt in self.term.attempts.items()
            if attempt.state.checkpoints
        }
        for job_id, names in newest.items():
            if names != self._checkpoints.get(job_id):
                self.scheduler.report_checkpoint(job_id, loop_time())
        self._checkpoints = newest

    def _execute(self, decision: Decision) -> None:
        job_id = decision.job_id
        attempt = self.term.attempts.get(job_id)
        if isinstance(decision, Abandon):
            self.term.end_job(job_id, JobState.FAILED, decision.explanation)
        elif isinstance(decision, Preempt) and attempt is not None:
            attempt.request_stop(StopMode(decision.mode.value))
        elif isinstance(decision, Start):
            view = self.job_table.active.get(job_id)
            if view is not None and attempt is None and job_id not in self._cancelled:
                self.term.start_job(view, decision)

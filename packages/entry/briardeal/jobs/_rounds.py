"""Rounds of decisions within one time of ownership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal.jobs._gang_client import Gang
from briardeal.jobs._members import RUNS
from briardeal.jobs._term import CANCELLED_WHY
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.reasons import Reason
from briardeal_protocol.messages import StopMode
from briardeal_scheduling import Abandon, Preempt, Start

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.jobs._job_table import JobTable
    from briardeal.jobs._members import WorkerAgent
    from briardeal.jobs._term import Term
    from briardeal_core.reasons import Refusal
    from briardeal_protocol.messages import TaskStatus
    from briardeal_scheduling import Decision

WORKER_GRACE_S = 10.0
"""How long a worker may be out of reach before nothing is planned on it."""


class Rounds:
    """Tells the scheduler what has changed and carries out what it decides.

    Parameters
    ----------
    term
        The time of ownership.
    job_table
        All jobs as the log tells them.
    region
        The region.
    count_most_workers
        Returns the most workers that the region has lately had at once.
    """

    def __init__(
        self, term: Term, job_table: JobTable, region: str, count_most_workers: Callable[[], int]
    ) -> None:
        self.term = term
        self.scheduler = term.scheduler
        self.members = term.context.members
        self.job_table = job_table
        self.region = region
        self.count_most_workers = count_most_workers
        self._workers: set[str] = set()
        self._submitted: set[str] = set()
        self._cancelled: set[str] = set()
        self._searched: set[WorkerAgent] = set()
        self._checkpoints: dict[str, tuple[str, ...]] = {}

    def adopt_all(self) -> None:
        """Take over what runs, by the log and by the agents' own word."""
        self._raise_workers()
        newest = self.members.newest_attempts()
        for view in self.job_table.active_in_region(self.region):
            status = newest.get(view.job.job_id)
            if status is not None and status.attempt > view.attempt:
                self.term.adopt_unrecorded(view, status)
            elif view.open:
                self.term.adopt(view)
            else:
                continue
            self._submitted.add(view.job.job_id)

    def run(self, may_start: bool) -> None:
        """Run one round; decide only where jobs may be started."""
        self._raise_workers()
        self._drop_workers()
        self._search_late_agents()
        self._take_new_jobs()
        self._take_cancellations()
        self._report_checkpoints()
        if may_start:
            for decision in self.scheduler.decide(loop_time()):
                self._carry_out(decision)

    def _raise_workers(self) -> None:
        for worker_id, agent in self.members.agents.items():
            if worker_id not in self._workers and agent.listed:
                self._workers.add(worker_id)
                self.scheduler.worker_up(agent.shape, loop_time())

    def _drop_workers(self) -> None:
        """Take out the workers out of reach, once no attempt depends on what ran there."""
        now_s = loop_time()
        lost = self._workers - self.members.agents.keys()
        attempts = self.term.attempts.values() if lost else ()
        held = {worker for attempt in attempts for worker in attempt.gang.workers}
        for worker_id in lost - held:
            if now_s >= self.members.lost_s.setdefault(worker_id, now_s) + WORKER_GRACE_S:
                self._workers.remove(worker_id)
                self.scheduler.worker_down(worker_id, now_s)

    def _search_late_agents(self) -> None:
        """Look once through the tasks of each agent that has come (back) into reach."""
        for agent in list(self.members.agents.values()):
            if agent.listed and agent not in self._searched:
                self._searched.add(agent)
                for status in list(agent.tasks.values()):
                    self._settle_late(agent, status)
        self._searched &= set(self.members.agents.values())

    def _settle_late(self, agent: WorkerAgent, status: TaskStatus) -> None:
        attempt = self.term.attempts.get(status.job_id)
        if attempt is not None and attempt.gang.attempt == status.attempt:
            return
        view = self.job_table.jobs.get(status.job_id)
        if view is None or view.region != self.region:
            return
        newer = not view.ended and status.attempt > self.term.memory(view).attempt
        if newer and status.ran and attempt is None:
            self.term.adopt_unrecorded(view, status)
            self._submitted.add(status.job_id)
        elif status.state in RUNS:
            self._stop_stray(agent, status)

    def _stop_stray(self, agent: WorkerAgent, status: TaskStatus) -> None:
        log_event(Event.STRAY_STOPPED, job=status.job_id, attempt=status.attempt)
        view = self.job_table.jobs[status.job_id]
        gang = Gang(view.job, status.attempt, (agent.entry.agent_id,), self.term.token)
        self.term.spawn(self.term.context.gang_client.stop(gang))

    def _take_new_jobs(self) -> None:
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
        """Return whether workers are out of reach that may hold the job once they are back."""
        missing = len(self._workers) < self.count_most_workers()
        return missing and refusal.reason is Reason.JOB_NEVER_FITS

    def _take_cancellations(self) -> None:
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
        """Tell of the checkpoints that gangs wrote while they ran."""
        newest = {
            job_id: attempt.state.checkpoints
            for job_id, attempt in self.term.attempts.items()
            if attempt.state.checkpoints
        }
        for job_id, names in newest.items():
            if names != self._checkpoints.get(job_id):
                self.scheduler.report_checkpoint(job_id, loop_time())
        self._checkpoints = newest

    def _carry_out(self, decision: Decision) -> None:
        job_id = decision.job_id
        attempt = self.term.attempts.get(job_id)
        if isinstance(decision, Abandon):
            self.term.end_job(job_id, JobState.FAILED, decision.explanation)
        elif isinstance(decision, Preempt) and attempt is not None:
            attempt.leave(StopMode(decision.mode.value))
        elif isinstance(decision, Start):
            view = self.job_table.active.get(job_id)
            if view is not None and attempt is None and job_id not in self._cancelled:
                self.term.start(view, decision)

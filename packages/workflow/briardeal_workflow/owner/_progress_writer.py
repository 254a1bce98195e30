"""Storage of the progress of jobs by the owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.job_table import cancel_key, encode_record, job_key, progress_key
from briardeal_workflow.store import Fenced, Record

if TYPE_CHECKING:
    from briardeal_workflow.job_table import JobTable
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.owner._agents import AgentState
    from briardeal_workflow.planning import ActiveJob, PlannerState
    from briardeal_workflow.store import FencedWriter

RETENTION_S = 600.0
"""Time for which a finished job stays in the store; callers query it for up to two minutes."""

EXPIRY_INTERVAL_S = 30.0
"""Interval between deletions of jobs whose retention time has passed."""

MAX_EXPIRED_PER_APPEND = 100
"""Maximum number of jobs that one append deletes, so that other appends are not delayed."""

CHECKPOINT_INTERVAL_S = 2.0
"""Minimum interval between writes of the checkpoints of running tasks; VMs take one in 1 to 2 s."""

CHECKPOINT_BYTES_PER_S = 3000
"""Maximum average rate of checkpoint writes: every entry reads them within its traffic budget."""


class ProgressWriter:
    """Writes the progress of jobs to the store and deletes jobs that finished long ago.

    Parameters
    ----------
    writer, state, job_table
        Fenced writer to the store, jobs of the planner, and jobs in the store.
    agent_states
        State of agents by name; their `ends_stored` is updated after each write.
    metrics
        Metrics that record how long it takes to store the final state of a job.
    starts_due
        Set when ends have been stored that starts may wait for.

    Attributes
    ----------
    wake
        Set when progress has changed.
    """

    def __init__(
        self,
        writer: FencedWriter,
        state: PlannerState,
        job_table: JobTable,
        agent_states: dict[str, AgentState],
        metrics: WorkflowMetrics,
        starts_due: asyncio.Event,
    ) -> None:
        self.metrics = metrics
        self.starts_due = starts_due
        self.writer = writer
        self.state = state
        self.job_table = job_table
        self.agent_states = agent_states
        self.wake = asyncio.Event()

    async def write_checkpoints(self) -> None:
        """Write the checkpoints of running tasks, so that they survive the loss of all VMs.

        Pauses after each write so that the average stays within `CHECKPOINT_BYTES_PER_S`.
        """
        pause_s = CHECKPOINT_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            job_ids, self.state.unsaved_checkpoints = self.state.unsaved_checkpoints, set()
            records = self._encode(job_ids - self.state.unsaved_jobs)
            if records and isinstance(await self.writer.append(records), Fenced):
                return
            size = sum(len(record.value or b"") for record in records)
            pause_s = max(CHECKPOINT_INTERVAL_S, size / CHECKPOINT_BYTES_PER_S)

    async def delete_expired(self) -> None:
        """Delete jobs from the store whose retention time has passed."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            expired = self.job_table.finished_before(loop_time() - RETENTION_S)[
                :MAX_EXPIRED_PER_APPEND
            ]
            records = [
                Record(key(job_id), None)
                for job_id in expired
                for key in (progress_key, cancel_key, job_key)
            ]
            if records:
                log_event(Event.JOBS_EXPIRED, jobs=len(expired))
                await self.writer.append(records)
            self.state.finished_jobs.difference_update(expired)

    async def run(self) -> None:
        """Write changed progress, then mark the reported outcomes in it as stored."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            received = {
                agent_id: (agent.incarnation, agent.ends_received)
                for agent_id, agent in self.agent_states.items()
            }
            ends = {vm_id: tuple(each) for vm_id, each in self.state.unstored_ends.items()}
            unsaved_jobs = self._pop_unsaved_jobs()
            records = self._encode(unsaved_jobs)
            finished = self._finished_jobs(unsaved_jobs)
            if records and isinstance(await self.writer.append(records), Fenced):
                return
            for active_job in finished:
                self.metrics.end_shown_s.observe(
                    {"state": active_job.state}, loop_time() - active_job.ended_s
                )
            for agent_id, (incarnation, ends_received) in received.items():
                agent = self.agent_states[agent_id]
                if agent.incarnation == incarnation:
                    agent.ends_stored = max(agent.ends_stored, ends_received)
            if ends:
                self.state.forget_stored_ends(ends)
                self.starts_due.set()

    def _pop_unsaved_jobs(self) -> set[str]:
        unsaved_jobs, self.state.unsaved_jobs = self.state.unsaved_jobs, set()
        self.state.unsaved_checkpoints -= unsaved_jobs
        return unsaved_jobs

    def _finished_jobs(self, job_ids: set[str]) -> list[ActiveJob]:
        """Return the finished jobs, whose final state is to be stored for the first time."""
        active_jobs = [
            self.state.active_jobs[job_id] for job_id in job_ids & self.state.active_jobs.keys()
        ]
        return [active_job for active_job in active_jobs if active_job.ended_s is not None]

    def _encode(self, job_ids: set[str]) -> list[Record]:
        """Return progress records of those jobs that the planner still has."""
        active_jobs = self.state.active_jobs
        return [
            Record(progress_key(job_id), encode_record(active_jobs[job_id].progress()))
            for job_id in sorted(job_ids & active_jobs.keys())
        ]

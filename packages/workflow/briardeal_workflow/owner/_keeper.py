"""What the owner keeps of jobs in the store."""

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
    from briardeal_workflow.owner._members import Member
    from briardeal_workflow.planning import ActiveJob, PlannerState
    from briardeal_workflow.store import FencedWriter

RETENTION_S = 600.0
"""Time for which a job that is over can be asked for; callers ask for two minutes."""

EXPIRY_INTERVAL_S = 30.0
"""Time between two looks for jobs that have been over for that long."""

EXPIRED_AT_ONCE = 100
"""Most jobs that one append takes out, so that others are not held up."""

CHECKPOINT_INTERVAL_S = 2.0
"""Least time between two writes of the checkpoints of running tasks; VMs make one in 1 to 2 s."""

CHECKPOINT_BYTES_PER_S = 3000
"""Most of such writes on average, as every entry reads them; the control budget of a node."""


class Keeper:
    """Writes the progress of jobs, and takes out those that have long been over.

    Parameters
    ----------
    writer, state, book, members
        Where to write, whose progress, what is kept, and whose ends follow from it.
    metrics
        What it counts.

    Attributes
    ----------
    wake
        Set when there is something to keep.
    """

    def __init__(
        self,
        writer: FencedWriter,
        state: PlannerState,
        book: JobTable,
        members: dict[str, Member],
        metrics: WorkflowMetrics,
    ) -> None:
        self.metrics = metrics
        self.writer = writer
        self.state = state
        self.book = book
        self.members = members
        self.wake = asyncio.Event()

    async def keep_checkpoints(self) -> None:
        """Keep the checkpoints of running tasks for a loss of all VMs, as the budget allows."""
        pause_s = CHECKPOINT_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            advanced, self.state.unsaved_checkpoints = self.state.unsaved_checkpoints, set()
            records = self._encode(advanced - self.state.unsaved_jobs)
            if records and isinstance(await self.writer.append(records), Fenced):
                return
            size = sum(len(record.value or b"") for record in records)
            pause_s = max(CHECKPOINT_INTERVAL_S, size / CHECKPOINT_BYTES_PER_S)

    async def drop_expired(self) -> None:
        """Take jobs that have long been over out of the store."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            expired = self.book.finished_before(loop_time() - RETENTION_S)[:EXPIRED_AT_ONCE]
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
        """Keep the progress of jobs, and with it the ends that it follows from."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            taken = {
                agent_id: (member.incarnation, member.ends_taken)
                for agent_id, member in self.members.items()
            }
            changed = self._take_changes()
            records = self._encode(changed)
            ended = self._ended(changed)
            if records and isinstance(await self.writer.append(records), Fenced):
                return
            for work in ended:
                self.metrics.end_shown_s.observe({"state": work.state}, loop_time() - work.ended_s)
            for agent_id, (incarnation, ends_taken) in taken.items():
                member = self.members[agent_id]
                if member.incarnation == incarnation:
                    member.ends_kept = max(member.ends_kept, ends_taken)

    def _take_changes(self) -> set[str]:
        changed, self.state.unsaved_jobs = self.state.unsaved_jobs, set()
        self.state.unsaved_checkpoints -= changed
        return changed

    def _ended(self, job_ids: set[str]) -> list[ActiveJob]:
        """Return the jobs whose final state is kept for the first time."""
        works = [
            self.state.active_jobs[job_id] for job_id in job_ids & self.state.active_jobs.keys()
        ]
        return [work for work in works if work.ended_s is not None]

    def _encode(self, job_ids: set[str]) -> list[Record]:
        """Return the progress of those jobs that are not forgotten."""
        works = self.state.active_jobs
        return [
            Record(progress_key(job_id), encode_record(works[job_id].progress()))
            for job_id in sorted(job_ids & works.keys())
        ]

"""Acceptance and starting of jobs."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from briardeal.jobs._gangs import Gangs, GangStarted
from briardeal.jobs._records import JOB_STREAM, JobAccepted, JobEnded, JobPlaced, JobRecord
from briardeal_core.events import Event, log_event
from briardeal_core.jobs import JobState
from briardeal_core.log import Batch, LogUnavailable
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import TaskState

if TYPE_CHECKING:
    from briardeal.jobs._board import JobBoard, JobView
    from briardeal.membership import AgentEntry, AgentTable
    from briardeal_core.jobs import JobRequest
    from briardeal_core.log import Log
    from briardeal_protocol.messages import Tasks, TaskStatus

LOG_RETRY_S = 2.0
READ_LIMIT = 500
READ_WAIT_S = 5.0
DECIDE_INTERVAL_S = 0.2


class JobService(Service):
    """Accepts jobs through the log and starts them on workers.

    Parameters
    ----------
    log
        The platform's log.
    board
        View of all jobs.
    table
        Agents that are alive.
    """

    def __init__(self, log: Log, board: JobBoard, table: AgentTable) -> None:
        super().__init__()
        self.log_service = log
        self.board = board
        self.table = table
        self.gangs = Gangs(table)
        self.token = 1

    async def submit(self, job: JobRequest) -> JobRequest | Refusal:
        """Accept a job; it is accepted only when it stands in the log."""
        job = msgspec.structs.replace(job, job_id=f"job-{secrets.token_hex(6)}")
        written = await self._append(JobAccepted(job=job))
        if isinstance(written, LogUnavailable):
            return Refusal(Reason.LOG_UNAVAILABLE, RunState.NOT_RUN, LOG_RETRY_S)
        log_event(Event.JOB_ACCEPTED, job=job.job_id, customer=job.customer)
        return job

    def agent_joined(self, entry: AgentEntry) -> None:
        """Take in an agent that connected, with the tasks that it holds."""

    def agent_lost(self, entry: AgentEntry) -> None:
        """Take note that an agent is out of reach."""

    def tasks_changed(self, entry: AgentEntry, tasks: Tasks) -> None:
        """Take the states of tasks."""
        for status in tasks.tasks:
            view = self.board.jobs.get(status.job_id)
            if view is not None and status.attempt == view.attempt:
                self.add_future(self._end(view, status))

    async def _end(self, view: JobView, status: TaskStatus) -> None:
        if status.state is TaskState.FINISHED and view.state is JobState.RUNNING:
            view.state = JobState.FINISHED
            why = "Every task of the job has finished."
            await self._append(JobEnded(job_id=status.job_id, state=JobState.FINISHED, why=why))
            log_event(Event.JOB_ENDED, job=status.job_id, state="finished")

    @Service.task
    async def _follow_log(self) -> None:
        offset = 0
        while not self.should_stop:
            batch = await self.log_service.read(JOB_STREAM, offset, READ_LIMIT, READ_WAIT_S)
            if not isinstance(batch, Batch):
                await self.sleep(1.0)
                continue
            for entry in batch.entries:
                self.board.apply(msgspec.json.decode(entry.record, type=JobRecord))
            offset = batch.next_offset

    @Service.task
    async def _start_waiting(self) -> None:
        while not self.should_stop:
            for view in self.board.waiting():
                await self._start(view)
            await self.sleep(DECIDE_INTERVAL_S)

    async def _start(self, view: JobView) -> None:
        workers = tuple(entry.agent_id for entry in self.table.workers())[: view.job.tasks]
        if len(workers) < view.job.tasks:
            return
        attempt = view.attempt + 1
        why = f"The job was given {', '.join(workers)}, the first workers with room."
        placed = JobPlaced(
            job_id=view.job.job_id, attempt=attempt, workers=workers, token=self.token, why=why
        )
        if isinstance(await self._append(placed), LogUnavailable):
            return
        self.board.apply(placed)
        outcome = await self.gangs.start(view.job, attempt, workers, self.token)
        if isinstance(outcome, GangStarted):
            view.state = JobState.RUNNING
            log_event(Event.JOB_STARTED, job=view.job.job_id, workers=workers)
        else:
            view.state = JobState.WAITING

    async def _append(self, record: JobRecord) -> object:
        body = msgspec.json.encode(record)
        return await self.log_service.append(JOB_STREAM, body, secrets.token_hex(8))

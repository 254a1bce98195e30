"""The job service of an entry: accepts jobs, follows their state and may own the region."""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from typing import TYPE_CHECKING

import msgspec
from mode import Service

from briardeal.jobs._attempt import AttemptContext
from briardeal.jobs._gang_client import GangClient
from briardeal.jobs._job_table import JobTable
from briardeal.jobs._owner import Owner
from briardeal.jobs._record_queue import RecordQueue
from briardeal.jobs._records import JOB_SCHEMA, JOB_STREAM, JobAccepted, JobCancelled
from briardeal.jobs._worker_registry import WorkerRegistry
from briardeal.jobs.ownership import NoPeers, Ownership
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log import (
    AppendRateLimiter,
    RoleClaim,
    SnapshotStream,
    SnapshotWriter,
    StreamFollower,
    StreamReader,
    StreamWriter,
    Written,
)
from briardeal_core.reasons import Reason, Refusal, RunState
from briardeal_protocol.messages import GangsWhole
from briardeal_scheduling import Scheduler

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briardeal.jobs._job_scheduler import JobScheduler
    from briardeal.jobs._view import JobView
    from briardeal.jobs._worker_registry import WorkerAgent
    from briardeal.jobs.ownership import PeerLogStates
    from briardeal.membership import AgentEntry
    from briardeal_core.clock import Clock
    from briardeal_core.configuration import Configuration
    from briardeal_core.jobs import JobRequest
    from briardeal_core.log import Log
    from briardeal_core.metrics import Metrics
    from briardeal_protocol.messages import Tasks

SNAPSHOT_STREAM = "jobs.snapshots"
CLAIM_STREAM = "jobs.claims"
SNAPSHOT_INTERVAL_S = 6 * 3600.0
JOB_TABLE_MAX_AGE_S = 8.0
"""Maximum age of the job table for which an entry confirms gangs."""

READ_BACK_TIMEOUT_S = 2.0
INVENTORY_RETRY_S = 1.0
POLL_S = 0.02


class JobService(Service):
    """Accepts jobs by writing them to the log, and starts them while this entry owns the region.

    Parameters
    ----------
    log
        The platform's log.
    region, entry_id
        Region and identifier of this entry.
    clock
        Wall-clock time.
    metrics
        Counts refusals and retries.
    rng
        Source of jitter and identifiers.
    peers
        Reports how far the other entries have read the log.
    rate_limiter
        Limits the rate of appends of this process.
    create_scheduler
        Returns a new scheduler for each term of ownership.
    snapshot_interval_s
        Maximum age of the newest snapshot in seconds; a quarter of the log's retention.

    Attributes
    ----------
    job_table
        State of all jobs, read from the log.
    ownership
        The claim of this entry on its region.
    registry
        Connected worker agents and their tasks.
    """

    def __init__(
        self,
        log: Log,
        region: str,
        entry_id: str,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        peers: PeerLogStates | None = None,
        rate_limiter: AppendRateLimiter | None = None,
        create_scheduler: Callable[[], JobScheduler] = Scheduler,
        snapshot_interval_s: float = SNAPSHOT_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.region = region
        self.metrics = metrics
        self.rng = rng
        rate_limiter = rate_limiter or AppendRateLimiter()
        self.job_table = JobTable()
        self.registry = WorkerRegistry()
        snapshots = SnapshotStream(log, SNAPSHOT_STREAM, rate_limiter, rng)
        reader = StreamReader(log, JOB_STREAM, JOB_SCHEMA)
        self.follower = StreamFollower(reader, snapshots, self.job_table, rng)
        claim = RoleClaim(log, CLAIM_STREAM, "snapshots", entry_id, rate_limiter, rng)
        self.snapshot_writer = SnapshotWriter(
            self.follower, claim, rng, interval_s=snapshot_interval_s, clock=clock
        )
        self.writer = StreamWriter(log, JOB_STREAM, JOB_SCHEMA, rate_limiter, rng)
        self.decision_writer = StreamWriter(log, JOB_STREAM, JOB_SCHEMA, rate_limiter, rng)
        self.record_queue = RecordQueue(self.decision_writer)
        self.ownership = Ownership(
            log, region, entry_id, peers or NoPeers(), self._count_workers, rate_limiter, rng
        )
        context = AttemptContext(
            self.registry,
            GangClient(self.registry),
            self.record_queue,
            self.ownership.lease_state,
            rng,
        )
        self.gang_client = context.gang_client
        self.owner = Owner(
            self.ownership, self.job_table, context, create_scheduler, clock, metrics
        )

    def on_init_dependencies(self) -> list[Service]:
        """Return the services that start and stop with this one."""
        return [
            self.follower,
            self.snapshot_writer,
            self.writer,
            self.decision_writer,
            self.record_queue,
            self.ownership,
            self.owner,
        ]

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.owner.configure(configuration)

    async def submit(self, job: JobRequest, key: str = "") -> JobRequest | Refusal:
        """Accept a job; it is accepted once it has been written to the log.

        Parameters
        ----------
        job
            The job; this method assigns its identifier.
        key
            Idempotency key of the caller; a repeated submission returns the same job.
        """
        job = msgspec.structs.replace(job, job_id=self._create_job_id(job, key))
        known = self.job_table.jobs.get(job.job_id)
        if known is not None:
            return self._match_known_job(job, known)
        written = await self.writer.append(JobAccepted(job=job, region=self.region))
        if not isinstance(written, Written):
            return self._refuse(_with_job_id(written, job))
        log_event(Event.JOB_ACCEPTED, job=job.job_id, customer=job.customer)
        if key and await self._wait_until_read(job.job_id):
            return self._match_known_job(job, self.job_table.jobs[job.job_id])
        return job

    async def cancel(self, job_id: str) -> JobView | Refusal:
        """Cancel a job; it ends once none of its tasks runs."""
        view = self.job_table.jobs.get(job_id)
        if view is None:
            return self._refuse(Refusal(Reason.JOB_UNKNOWN, RunState.NOT_RUN))
        if view.ended and not view.cancelled:
            return self._refuse(Refusal(Reason.JOB_ENDED, RunState.RAN, detail=view.why))
        if not view.cancelled:
            written = await self.writer.append(JobCancelled(job_id=job_id))
            if not isinstance(written, Written):
                return self._refuse(written)
        return view

    def explain(self, job_id: str) -> list[str]:
        """Return the decisions on a job and their reasons, oldest first; empty if it is unknown."""
        view = self.job_table.jobs.get(job_id)
        if view is None:
            return []
        term = self.owner.term
        now_s = loop_time()
        decided = term.scheduler.explain(job_id, now_s) if term is not None else []
        return [*view.history, *decided]

    def agent_joined(self, entry: AgentEntry) -> None:
        """Add an agent that has connected, with the tasks on its worker."""
        if entry.hello.worker is not None:
            self.ownership.record_fence(entry.hello.worker.fence)
            self.add_future(self._fetch_inventory(self.registry.add_agent(entry)))

    def agent_lost(self, entry: AgentEntry) -> None:
        """Remove an agent whose connection was lost."""
        self.registry.remove_agent(entry)

    def tasks_changed(self, entry: AgentEntry, tasks: Tasks) -> None:
        """Store reported task states, and confirm the tasks whose gang is live."""
        self.ownership.record_fence(tasks.fence)
        self.registry.update_tasks(entry, tasks.tasks)
        if tasks.sequence and self._is_job_table_fresh():
            confirmed = tuple(name for name in tasks.live if self._may_confirm_gang(entry, name))
            reply = GangsWhole(sequence=tasks.sequence, tasks=confirmed)
            self.add_future(entry.link.connection.send(reply))

    async def _fetch_inventory(self, agent: WorkerAgent) -> None:
        """Fetch all tasks of an agent, as earlier reports of it may have been lost."""
        name = agent.entry.agent_id
        while self.registry.agents.get(name) is agent and not self.should_stop:
            if await self.gang_client.take_inventory(agent, self.ownership.token):
                return
            await asyncio.sleep(INVENTORY_RETRY_S)

    def _is_job_table_fresh(self) -> bool:
        age_s = self.follower.age_s()
        is_fresh = age_s is not None and age_s <= JOB_TABLE_MAX_AGE_S
        return is_fresh or self.ownership.is_log_down_for_all()

    def _may_confirm_gang(self, entry: AgentEntry, name: str) -> bool:
        job_id, _, attempt = name.rpartition(".")
        status = self.registry.find_task(entry.agent_id, job_id, int(attempt))
        view = self.job_table.jobs.get(job_id)
        if status is None or view is None or view.ended or view.attempt > status.attempt:
            return False
        abandoned = view.attempt == status.attempt and (view.closing or not view.has_open_attempt)
        return not abandoned and self.registry.is_gang_live(status)

    def _count_workers(self) -> int:
        return len(self.registry.agents)

    def _create_job_id(self, job: JobRequest, key: str) -> str:
        if not key:
            return f"job-{uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]}"
        digest = hashlib.blake2b(f"{job.customer}\n{key}".encode(), digest_size=12)
        return f"job-{digest.hexdigest()}"

    def _match_known_job(self, job: JobRequest, known: JobView) -> JobRequest | Refusal:
        if known.job == job:
            return known.job
        return self._refuse(Refusal(Reason.JOB_KEY_REUSED, RunState.NOT_RUN))

    async def _wait_until_read(self, job_id: str) -> bool:
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                while job_id not in self.job_table.jobs:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True

    def _refuse(self, refusal: Refusal) -> Refusal:
        self.metrics.count_refusal(refusal.reason)
        return refusal


def _with_job_id(refusal: Refusal, job: JobRequest) -> Refusal:
    detail = f"Its identifier would be {job.job_id}."
    return Refusal(refusal.reason, refusal.run_state, refusal.retry_after_s, detail)

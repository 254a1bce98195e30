"""The owner of a region, which schedules its jobs and carries out the decisions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs._ownership_term import OwnershipTerm
from briardeal.jobs._scheduling_rounds import SchedulingRounds
from briardeal.jobs._takeover import take_over
from briardeal.jobs.ownership import LeaseState
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.jobs._attempt import AttemptContext
    from briardeal.jobs._job_scheduler import JobScheduler
    from briardeal.jobs._job_table import JobTable
    from briardeal.jobs.ownership import Ownership
    from briardeal_core.clock import Clock
    from briardeal_core.configuration import Configuration
    from briardeal_core.metrics import Metrics

ROUND_INTERVAL_S = 0.5
ROUND_PAUSE_S = 0.02
CLAIM_POLL_S = 0.25


class Owner(Service):
    """Schedules the jobs of a region while this entry owns it.

    Parameters
    ----------
    ownership
        The claim of this entry on the region, and its owner lease.
    job_table
        State of all jobs, read from the log.
    context
        Connected agents, orders to them, and records to be written.
    create_scheduler
        Returns a new scheduler for each term of ownership.
    clock
        Wall-clock time.
    metrics
        Counts refusals and retries.

    Attributes
    ----------
    term
        The current term of ownership; `None` while this entry does not own the region.
    """

    def __init__(
        self,
        ownership: Ownership,
        job_table: JobTable,
        context: AttemptContext,
        create_scheduler: Callable[[], JobScheduler],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.ownership = ownership
        self.job_table = job_table
        self.context = context
        self.create_scheduler = create_scheduler
        self.clock = clock
        self.metrics = metrics
        self.configuration: Configuration | None = None
        self.term: OwnershipTerm | None = None
        self.changed = asyncio.Event()
        context.registry.listeners.append(self._on_tasks_changed)
        job_table.listeners.append(self.changed.set)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.configuration = configuration
        if self.term is not None:
            self.term.scheduler.configure(configuration, loop_time())
            self.changed.set()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if self.ownership.lease_state() is LeaseState.NONE:
                await asyncio.sleep(CLAIM_POLL_S)
                continue
            self.term = self._create_term()
            try:
                await self._run_term(self.term)
            finally:
                self.term.end()
                self.term = None

    async def on_stop(self) -> None:
        """Release the region if every decision has been written to the log."""
        if self.ownership.token and not self.context.record_queue.pending:
            await self.ownership.release()

    def _create_term(self) -> OwnershipTerm:
        scheduler = self.create_scheduler()
        if self.configuration is not None:
            scheduler.configure(self.configuration, loop_time())
        return OwnershipTerm(
            token=self.ownership.token,
            context=self.context,
            scheduler=scheduler,
            clock=self.clock,
            metrics=self.metrics,
            spawn=self.add_future,
            request_round=self.changed.set,
        )

    async def _run_term(self, term: OwnershipTerm) -> None:
        def still_owns() -> bool:
            return self.ownership.token == term.token and not self.should_stop

        if not await take_over(self.ownership, self.job_table, self.context, still_owns):
            return
        log_event(Event.OWNER_STARTED, region=self.ownership.region, token=term.token)
        rounds = SchedulingRounds(
            term, self.job_table, self.ownership.region, self.ownership.count_peak_workers
        )
        rounds.adopt_all()
        lease_state = LeaseState.NONE
        while still_owns():
            self.changed.clear()
            if self.ownership.lease_state() is not lease_state:
                lease_state = self.ownership.lease_state()
                log_event(
                    Event.RIGHT_CHANGED, region=self.ownership.region, right=lease_state.value
                )
            rounds.run_round(may_start=lease_state is not LeaseState.NONE)
            await self._wait_change()

    async def _wait_change(self) -> None:
        try:
            async with asyncio.timeout(ROUND_INTERVAL_S):
                await self.changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(ROUND_PAUSE_S)

    def _on_tasks_changed(self, jobs: set[str] | None) -> None:
        self.changed.set()
        if self.term is None:
            return
        job_ids = list(self.term.attempts) if jobs is None else jobs
        for job_id in job_ids:
            if job_id in self.term.attempts:
                self.term.attempts[job_id].changed.set()

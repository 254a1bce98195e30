"""The owner of a region: decides on its jobs and carries the decisions out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs._rounds import Rounds
from briardeal.jobs._takeover import take_over
from briardeal.jobs._term import Term
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
    """Decides on the jobs of a region while this entry owns it.

    Parameters
    ----------
    ownership
        Tells whether this entry owns the region and may start jobs.
    job_table
        All jobs as the log tells them.
    context
        Agents in reach, orders to them, and records on their way to the log.
    create_scheduler
        Returns a new scheduler for each time of ownership.
    clock
        Wall time.
    metrics
        Counts refusals and retries.

    Attributes
    ----------
    term
        The present time of ownership; `None` while another entry owns the region.
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
        self.term: Term | None = None
        self.changed = asyncio.Event()
        context.members.listeners.append(self._notice_members)
        job_table.listeners.append(self.changed.set)

    def configure(self, configuration: Configuration) -> None:
        """Take over a new configuration."""
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
                await self._serve(self.term)
            finally:
                self.term.end()
                self.term = None

    async def on_stop(self) -> None:
        """Give the region up where every decision stands in the log."""
        if self.ownership.token and not self.context.outbox.pending:
            await self.ownership.release()

    def _create_term(self) -> Term:
        scheduler = self.create_scheduler()
        if self.configuration is not None:
            scheduler.configure(self.configuration, loop_time())
        return Term(
            token=self.ownership.token,
            context=self.context,
            scheduler=scheduler,
            clock=self.clock,
            metrics=self.metrics,
            spawn=self.add_future,
            wake=self.changed.set,
        )

    async def _serve(self, term: Term) -> None:
        def holds() -> bool:
            return self.ownership.token == term.token and not self.should_stop

        if not await take_over(self.ownership, self.job_table, self.context, holds):
            return
        log_event(Event.OWNER_STARTED, region=self.ownership.region, token=term.token)
        rounds = Rounds(
            term, self.job_table, self.ownership.region, self.ownership.count_most_workers
        )
        rounds.adopt_all()
        lease_state = LeaseState.NONE
        while holds():
            self.changed.clear()
            if self.ownership.lease_state() is not lease_state:
                lease_state = self.ownership.lease_state()
                log_event(
                    Event.RIGHT_CHANGED, region=self.ownership.region, right=lease_state.value
                )
            rounds.run(may_start=lease_state is not LeaseState.NONE)
            await self._wait_change()

    async def _wait_change(self) -> None:
        try:
            async with asyncio.timeout(ROUND_INTERVAL_S):
                await self.changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(ROUND_PAUSE_S)

    def _notice_members(self, jobs: set[str] | None) -> None:
        self.changed.set()
        if self.term is None:
            return
        names = list(self.term.attempts) if jobs is None else jobs
        for job_id in names:
            if job_id in self.term.attempts:
                self.term.attempts[job_id].changed.set()

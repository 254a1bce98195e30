"""The part of an entry that is the same wherever it runs."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_workflow.gateway import Gateway
from briardeal_workflow.job_table import JobTable
from briardeal_workflow.leadership import Election, OwnerWatch
from briardeal_workflow.metrics import WorkflowMetrics
from briardeal_workflow.owner import JOBS_TOPIC, Hub, Owner
from briardeal_workflow.relay import RelayedStore, RelayServer
from briardeal_workflow.store import Follower

if TYPE_CHECKING:
    from briardeal_core.clock import Clock
    from briardeal_protocol.connections import Network
    from briardeal_workflow.model import Configuration
    from briardeal_workflow.store import Record, Store

JOBS_WAIT_S = 1.0
"""Longest wait of one read of the jobs, and so their age at rest."""

ELECTION_PAUSE_S = 0.1
"""Pause before an entry that lost the ownership may take it again."""


class Entry:
    """Knows all jobs, answers for them, and owns them while it is elected.

    Parameters
    ----------
    entry_id, incarnation, address
        Its name, one that is different after every start, and where agents and other entries reach
        it.
    store, network, clock
        What must last, how to connect, and wall time.
    seeds
        Addresses of other entries that are known before the store has been read.
    metrics
        What it counts.

    Attributes
    ----------
    gateway
        Answers callers.
    owner
        The owner of jobs while it is this entry.
    directory
        The configuration in force; `None` before the first.
    """

    def __init__(
        self,
        entry_id: str,
        incarnation: str,
        address: str,
        store: Store,
        network: Network,
        clock: Clock,
        seeds: tuple[str, ...] = (),
        metrics: WorkflowMetrics | None = None,
    ) -> None:
        self.metrics = metrics or WorkflowMetrics()
        self.address = address
        self.seeds = seeds
        self.store = RelayedStore(entry_id, store, network, self._peers)
        self.clock = clock
        self.incarnation = incarnation
        rng = random.Random(incarnation)
        self.election = Election(self.store, entry_id, incarnation, address, rng)
        self.watch = OwnerWatch(self.election, network)
        self.hub = Hub(network, self.election, RelayServer(store, lambda: self.store.direct_works))
        self.book = JobTable()
        self.jobs = Follower(self.store, JOBS_TOPIC, self._apply, JOBS_WAIT_S)
        self.gateway = Gateway(
            self.store, JOBS_TOPIC, self.book, self.jobs, self._apply, self.metrics
        )
        self.owner: Owner | None = None
        self.directory: Configuration | None = None
        self.configured = asyncio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.hub.start(self.address)
        async with asyncio.TaskGroup() as tasks:
            for part in (self.jobs, self.election, self.watch):
                tasks.create_task(part.run())
            await self._own_forever()

    def configure(self, directory: Configuration) -> None:
        """Take over a new configuration."""
        self.directory = directory
        self.configured.set()
        if self.owner is not None:
            self.owner.configure(directory)

    def _peers(self) -> list[str]:
        """Return the addresses of other entries, that of the owner first."""
        owner = self.election.owner
        known = [owner.address] if owner is not None else []
        known += [*self.election.entries.values(), *self.seeds]
        return [address for address in dict.fromkeys(known) if address != self.address]

    async def _own_forever(self) -> None:
        await self.configured.wait()
        while True:
            await self.election.elected.wait()
            await self.jobs.caught_up.wait()
            self.owner = Owner(
                self.election,
                self.hub,
                self.store,
                self.book,
                self.jobs,
                self.clock,
                self.metrics,
            )
            await self.owner.run(self.directory)
            self.owner = None
            self.election.resign()
            await asyncio.sleep(ELECTION_PAUSE_S)

    def _apply(self, record: Record) -> None:
        job_id = self.book.apply(record.key, record.value, record.offset, loop_time())
        if job_id is not None and self.owner is not None:
            self.owner.note_job(job_id)

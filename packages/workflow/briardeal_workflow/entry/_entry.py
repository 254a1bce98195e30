"""The part of an entry that is the same on every platform."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briardeal_core.clock import loop_time
from briardeal_workflow.admission import MAX_SUMMARY_AGE_S, AdmissionPolicy, SummaryCache
from briardeal_workflow.evacuation import EvacuatedDomains
from briardeal_workflow.gateway import AdmissionControl, Gateway
from briardeal_workflow.job_table import JobTable
from briardeal_workflow.leadership import Election, OwnerWatch
from briardeal_workflow.metrics import WorkflowMetrics
from briardeal_workflow.model import OverloadPolicy, reject_outdated
from briardeal_workflow.owner import JOBS_TOPIC, ControlServer, Owner, PlanningProgress
from briardeal_workflow.relay import RelayedStore, RelayServer
from briardeal_workflow.store import Follower

if TYPE_CHECKING:
    from briardeal_core.clock import Clock
    from briardeal_protocol.connections import Network
    from briardeal_workflow.admission import AdmissionSummary
    from briardeal_workflow.model import Configuration, PlannerTiming
    from briardeal_workflow.store import Record, Store

READ_WAIT_S = 1.0
"""Longest time that a read waits for records of jobs; while none arrive, the records read are at
most this old."""

MAX_JOBS_AGE_S = 2.5
"""Maximum age of the jobs read with which an entry claims the ownership."""

RECLAIM_PAUSE_S = 0.1
"""Pause before an entry that has lost the ownership may claim it again."""


class Entry:
    """Follows all jobs, answers callers, and runs the owner while this entry is elected.

    Parameters
    ----------
    entry_id, incarnation, address
        Name of the entry, an ID that differs after every start, and the control address for agents
        and other entries.
    store, network, clock
        Store of jobs and ownership, connections to other processes, and wall time.
    seeds
        Addresses of other entries that are known before the store has been read.
    metrics
        Metrics of this process; new ones by default.
    timing
        Times that the platform promises.
    overload
        Operator's choices for times of too little capacity.

    Attributes
    ----------
    gateway
        Handles the requests of callers.
    summaries
        Newest summary of another entry that owns the jobs.
    progress
        Progress of the planner while this entry is elected.
    job_follower
        Follower that reads the topic of jobs.
    owner
        Owner of the jobs while this entry is elected, otherwise `None`.
    configuration
        Configuration in force; `None` before the first.
    evacuations
        Evacuated failure domains; the platform sets its reader if it has one.
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
        timing: PlannerTiming | None = None,
        overload: OverloadPolicy | None = None,
    ) -> None:
        self.metrics = metrics or WorkflowMetrics()
        self.overload = overload or OverloadPolicy()
        self.summaries = SummaryCache()
        self.timing = timing
        self.address = address
        self.seeds = seeds
        self.store = RelayedStore(entry_id, store, network, self._peer_addresses)
        self.clock = clock
        self.incarnation = incarnation
        rng = random.Random(incarnation)
        self.election = Election(
            self.store,
            entry_id,
            incarnation,
            address,
            rng,
            lambda: self.can_plan,
            lambda: self.control_server.hear_agents(),
        )
        self.watch = OwnerWatch(self.election, network, self.summaries)
        self.job_table = JobTable()
        self.job_follower = Follower(self.store, JOBS_TOPIC, self._apply_record, READ_WAIT_S)
        self.progress = PlanningProgress(self.election, self.job_follower, self.metrics)
        self.control_server = ControlServer(
            network,
            self.election,
            RelayServer(store, lambda: self.store.direct_available),
            self.progress,
        )
        self.gateway = Gateway(
            self.store,
            JOBS_TOPIC,
            self.job_table,
            self.job_follower,
            self._apply_record,
            self.metrics,
            self._make_admission(incarnation),
        )
        self.owner: Owner | None = None
        self.configuration: Configuration | None = None
        self.configured = asyncio.Event()
        self.evacuations = EvacuatedDomains(timing)

    @property
    def can_plan(self) -> bool:
        """Whether this entry could plan at once if it were elected.

        An owner of an earlier claim may not have ended yet. An old configuration is good enough.
        """
        reader = self.job_follower
        is_read = reader.caught_up.is_set() and reader.reachable
        is_recent = is_read and reader.age_s <= MAX_JOBS_AGE_S
        return is_recent and self.configuration is not None and self.owner is None

    async def run(self) -> None:
        """Run the entry until cancelled."""
        await self.control_server.start(self.address)
        async with asyncio.TaskGroup() as tasks:
            for part in (self.job_follower, self.election, self.watch, self.progress):
                tasks.create_task(part.run())
            await self._run_owner_when_elected()

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force, unless a newer one is."""
        if self.configuration is not None and reject_outdated(configuration, self.configuration):
            return
        self.configuration = configuration
        self.configured.set()
        if self.owner is not None:
            self.owner.configure(configuration)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Let no task start in the given failure domains, and in no others than before."""
        self.evacuations.domains = domains
        self.metrics.evacuated_domains.set({}, len(domains))
        if self.owner is not None:
            self.owner.evacuate()

    def _make_admission(self, seed: str) -> AdmissionControl | None:
        if not self.overload.estimates_admission:
            return None
        # A random source of its own, as draws would change the delays of the election.
        policy = AdmissionPolicy(random.Random(f"admission {seed}"))
        return AdmissionControl(policy, self._find_summary, self._guaranteed_accelerators)

    def _find_summary(self) -> AdmissionSummary | None:
        """Return the summary of the owner; `None` if there is none that is recent enough."""
        now_s = loop_time()
        if self.owner is None:
            return self.summaries.find(self.election.epoch, now_s)
        newest = self.owner.summaries.newest
        is_recent = newest is not None and now_s - newest.made_s <= MAX_SUMMARY_AGE_S
        return newest if is_recent else None

    def _guaranteed_accelerators(self, customer: str) -> int:
        configuration = self.configuration
        return 0 if configuration is None else configuration.guaranteed_accelerators_of(customer)

    def _peer_addresses(self) -> list[str]:
        """Return the addresses of the other entries, the owner's first."""
        owner = self.election.owner
        addresses = [owner.address] if owner is not None else []
        addresses += [*self.election.entries.values(), *self.seeds]
        return [address for address in dict.fromkeys(addresses) if address != self.address]

    async def _run_owner_when_elected(self) -> None:
        self.progress.waits_for = "a configuration"
        await self.configured.wait()
        while True:
            await self.election.elected.wait()
            self.progress.waits_for = "jobs"
            await self.job_follower.caught_up.wait()
            if not self.election.is_owner:
                # Another entry has claimed the ownership since, under a token of its own.
                continue
            self.owner = Owner(
                self.election,
                self.control_server,
                self.store,
                self.job_table,
                self.job_follower,
                self.clock,
                self.metrics,
                self.progress,
                self.timing,
                self.evacuations,
                self.overload,
            )
            self.owner.configure(self.configuration)
            await self.owner.run()
            self.owner = None
            self.election.resign()
            await asyncio.sleep(RECLAIM_PAUSE_S)

    def _apply_record(self, record: Record) -> None:
        job_id = self.job_table.apply(record.key, record.value, record.offset, loop_time())
        if job_id is not None and self.owner is not None:
            self.owner.handle_job_change(job_id)

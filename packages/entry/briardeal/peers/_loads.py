"""Load of the region, summed from the state of the agents."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal.peers._bridges import choose_reporting_domain
from briardeal_protocol.peers import DomainLoad, ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.peers._interfaces import LoadSource
    from briardeal.peers._table import PeerTable

LOAD_INTERVAL_S = 2.0
"""Interval at which load is computed and reported; member changes are reported immediately."""


class AgentLoads:
    """Computes the load of each failure domain from the table of agents.

    Parameters
    ----------
    table
        Agents that are alive.
    count_waiting_jobs
        Returns the number of waiting jobs in the region.
    failure_domain
        Failure domain of this entry; the waiting jobs are reported with its load.
    """

    def __init__(
        self, table: AgentTable, count_waiting_jobs: Callable[[], int], failure_domain: str
    ) -> None:
        self.table = table
        self.count_waiting_jobs = count_waiting_jobs
        self.failure_domain = failure_domain

    def loads(self) -> dict[str, DomainLoad]:
        """Return the load by failure domain."""
        totals: dict[str, LoadTotal] = defaultdict(LoadTotal)
        totals[self.failure_domain].jobs_waiting = self.count_waiting_jobs()
        for agent in self.table.agents.values():
            totals[agent.hello.failure_domain].add_agent(agent)
        return {name: load.to_domain_load() for name, load in totals.items()}


@attrs.define
class LoadTotal:
    """Running total of agent and service load."""

    services: dict[str, ServiceLoad] = attrs.field(factory=dict)
    workers: int = 0
    accelerators: int = 0
    jobs_waiting: int = 0

    def add_agent(self, agent: AgentEntry) -> None:
        """Add the worker and the endpoint of an agent."""
        worker = agent.hello.worker
        if worker is not None:
            self.workers += 1
            self.accelerators += worker.shape.accelerators
        endpoint = agent.endpoint
        if endpoint is not None and agent.serves(endpoint.service):
            free_slots = max(0, endpoint.slots - endpoint.slots_in_use)
            self.add_service(ServiceLoad(endpoint.service, 1, endpoint.slots, free_slots))

    def add_service(self, new: ServiceLoad) -> None:
        """Add the load of a service."""
        old = self.services.get(new.service, ServiceLoad(new.service, 0, 0, 0))
        self.services[new.service] = ServiceLoad(
            new.service,
            old.endpoints + new.endpoints,
            old.slots + new.slots,
            old.free_slots + new.free_slots,
        )

    def add_load(self, load: DomainLoad) -> None:
        """Add the load of a failure domain."""
        self.workers += load.workers
        self.accelerators += load.accelerators
        self.jobs_waiting += load.jobs_waiting
        for service in load.services:
            self.add_service(service)

    def to_domain_load(self) -> DomainLoad:
        """Return the total as a message, with services sorted by name."""
        services = tuple(self.services[name] for name in sorted(self.services))
        return DomainLoad(services, self.workers, self.accelerators, self.jobs_waiting)


class ReportedLoad:
    """Cached load that the entries of this failure domain report to other regions.

    Parameters
    ----------
    source
        Load of the region.
    table
        Links to other entries and known members.
    """

    def __init__(self, source: LoadSource, table: PeerTable) -> None:
        self.source = source
        self.table = table
        self.computed_s = -LOAD_INTERVAL_S
        self.load = DomainLoad()

    def current(self) -> DomainLoad:
        """Return the load, recomputed if it is older than the interval."""
        now_s = self.table.now_s()
        if now_s - self.computed_s >= LOAD_INTERVAL_S:
            self.computed_s = now_s
            self.load = self._compute()
        return self.load

    def _compute(self) -> DomainLoad:
        own = self.table.local_member.failure_domain
        with_entries = {member.failure_domain for member in self.table.region_members()} | {own}
        total = LoadTotal()
        for name, load in self.source.loads().items():
            if choose_reporting_domain(name, with_entries) == own:
                total.add_load(load)
        return total.to_domain_load()

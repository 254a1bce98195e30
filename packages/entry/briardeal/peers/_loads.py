"""Load of the region, summed from the agents."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal.peers._carriers import covering
from briardeal_protocol.peers import DomainLoad, ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal.membership import AgentEntry, AgentTable
    from briardeal.peers._interfaces import LoadSource
    from briardeal.peers._table import PeerTable

LOAD_INTERVAL_S = 2.0
"""How often load is summed and told; members are told at once."""


class AgentLoads:
    """Load by failure domain, from the table of agents.

    Parameters
    ----------
    table
        Agents that are alive.
    waiting
        Returns the number of jobs that wait in the region.
    failure_domain
        Failure domain of this entry, which tells of the waiting jobs.
    """

    def __init__(self, table: AgentTable, waiting: Callable[[], int], failure_domain: str) -> None:
        self.table = table
        self.waiting = waiting
        self.failure_domain = failure_domain

    def loads(self) -> dict[str, DomainLoad]:
        """Return the load by failure domain."""
        sums: dict[str, LoadSum] = defaultdict(LoadSum)
        sums[self.failure_domain].jobs_waiting = self.waiting()
        for agent in self.table.agents.values():
            sums[agent.hello.failure_domain].add(agent)
        return {name: load.total() for name, load in sums.items()}


@attrs.define
class LoadSum:
    """A sum of loads."""

    services: dict[str, ServiceLoad] = attrs.field(factory=dict)
    workers: int = 0
    accelerators: int = 0
    jobs_waiting: int = 0

    def add(self, agent: AgentEntry) -> None:
        """Add what stands beside an agent."""
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

    def total(self) -> DomainLoad:
        """Return the sum."""
        services = tuple(self.services[name] for name in sorted(self.services))
        return DomainLoad(services, self.workers, self.accelerators, self.jobs_waiting)


class ReportedLoad:
    """Load that the entries of this failure domain tell other regions of.

    Parameters
    ----------
    source
        Load of the region.
    table
        Entries that are alive.
    """

    def __init__(self, source: LoadSource, table: PeerTable) -> None:
        self.source = source
        self.table = table
        self.summed_s = -LOAD_INTERVAL_S
        self.load = DomainLoad()

    def current(self) -> DomainLoad:
        """Return the load, summed anew when it is older than the interval."""
        now_s = self.table.now_s()
        if now_s - self.summed_s >= LOAD_INTERVAL_S:
            self.summed_s = now_s
            self.load = self._sum()
        return self.load

    def _sum(self) -> DomainLoad:
        own = self.table.myself.failure_domain
        with_entries = {member.failure_domain for member in self.table.region_members()} | {own}
        total = LoadSum()
        for name, load in self.source.loads().items():
            if covering(name, with_entries) == own:
                total.add_load(load)
        return total.total()

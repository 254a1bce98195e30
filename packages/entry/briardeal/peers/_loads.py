"""Load of the region, summed from the agents."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal.peers._carriers import covering
from briardeal_protocol.peers import DomainLoad, ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from briardeal.membership import AgentEntry, AgentTable

LOADS_TTL_S = 1.0


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

    def total(self) -> DomainLoad:
        """Return the sum."""
        services = tuple(self.services[name] for name in sorted(self.services))
        return DomainLoad(services, self.workers, self.accelerators, self.jobs_waiting)


def covered_load(loads: dict[str, DomainLoad], own: str, with_entries: Iterable[str]) -> DomainLoad:
    """Return the load that the entries of one failure domain tell of."""
    total = LoadSum()
    candidates = set(with_entries)
    for name, load in loads.items():
        if covering(name, candidates) != own:
            continue
        total.workers += load.workers
        total.accelerators += load.accelerators
        total.jobs_waiting += load.jobs_waiting
        for service in load.services:
            total.add_service(service)
    return total.total()

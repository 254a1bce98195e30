"""Search for VMs that meet all guarantees at once."""

from __future__ import annotations

from collections import defaultdict
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.guarantees._margin import margin_holds
from briardeal_scheduling.guarantees._sorted_capacities import SortedCapacities

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from briardeal_core.configuration import Guarantee
    from briardeal_scheduling.fleet import TopologyGroup

ADJACENCY_ORDER = [Adjacency.RACK, Adjacency.FAILURE_DOMAIN, Adjacency.REGION]
"""Adjacencies from the closest to the widest."""

SEARCH_LIMIT = 40_000
"""VMs examined before a search is abandoned."""


MARGIN_CHECK_COST = 30
"""Examined VMs that the check of the failure margin counts for, per VM of the fleet."""


@attrs.frozen(order=True)
class GuaranteeKey:
    """Key of a guarantee: its customer and its index in the customer's configuration."""

    customer: str
    position: int


@attrs.frozen
class GuaranteeDemand:
    """A guarantee to find VMs for.

    Parameters
    ----------
    key, guarantee
        The guarantee.
    used_workers
        VMs that its customer uses already, each with the job; they stay booked.
    allowed
        VMs that may be booked; `None` for all.
    """

    key: GuaranteeKey
    guarantee: Guarantee
    used_workers: dict[str, str] = attrs.field(factory=dict)
    allowed: frozenset[str] | None = None


@attrs.define
class BookingPlan:
    """VMs for each guarantee.

    Parameters
    ----------
    assignments
        The VMs by guarantee; too few for some guarantees if `all_met` is false.
    all_met
        Whether every guarantee has all its VMs.
    margin_held
        Whether all guarantees can still be met after as many failures as the margin requires.
    examined
        VMs examined in the search, as a measure of its cost.
    """

    assignments: dict[GuaranteeKey, list[str]]
    all_met: bool
    margin_held: bool
    examined: int = 0


def plan_bookings(
    capacities: Mapping[str, int],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    demands: list[GuaranteeDemand],
    margin_vms: int,
) -> BookingPlan:
    """Choose VMs for all guarantees.

    Parameters
    ----------
    capacities
        Accelerators of each VM that may be booked.
    groups
        Groups of each VM.
    demands
        The guarantees.
    margin_vms
        Number of VMs that may fail.

    Returns
    -------
    BookingPlan
        A plan with the margin if one is found, else one without it, else a max-min fair share.
    """
    examined = 0
    for margin in dict.fromkeys((margin_vms, 0)):
        search = _Search(capacities, groups, demands, margin)
        assignments = search.run()
        examined += search.examined
        if assignments is not None:
            return BookingPlan(assignments, True, margin == margin_vms, examined)
    return BookingPlan(_share_max_min(capacities, groups, demands), False, False, examined)


class _Search:
    """Depth-first search for VMs, one guarantee after the other."""

    def __init__(
        self,
        capacities: Mapping[str, int],
        groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
        demands: list[GuaranteeDemand],
        margin_vms: int,
    ) -> None:
        self.capacities = dict(capacities)
        self.groups = groups
        self.margin_vms = margin_vms
        self.members = _members_by_group(groups)
        self.assignments: dict[GuaranteeKey, list[str]] = {}
        self.booked: dict[str, int] = defaultdict(int)
        self.examined = 0
        self.demands = sorted(demands, key=_search_order)
        for demand in demands:
            for worker_id in demand.used_workers:
                self.capacities[worker_id] -= demand.guarantee.accelerators_per_vm
                self.booked[worker_id] += demand.guarantee.accelerators_per_vm
        adjacencies = {demand.guarantee.adjacency for demand in demands}
        self.sorted_capacities = SortedCapacities(groups, adjacencies)
        self.sorted_spares = SortedCapacities(groups, adjacencies)
        self._fill_sorted_lists()

    def run(self) -> dict[GuaranteeKey, list[str]] | None:
        """Return the VMs for each guarantee, or `None` if the search failed."""
        if min(self.capacities.values(), default=0) < 0:
            return None
        return self.assignments if self._place_from(0) else None

    def _place_from(self, position: int) -> bool:
        if position == len(self.demands):
            return self._margin_holds()
        demand = self.demands[position]
        for chosen in self._candidate_sets(demand):
            if self.examined > SEARCH_LIMIT:
                return False
            self._book(chosen, demand.guarantee.accelerators_per_vm)
            self.assignments[demand.key] = [*demand.used_workers, *chosen]
            if self._keeps_margin(demand) and self._place_from(position + 1):
                return True
            self._book(chosen, -demand.guarantee.accelerators_per_vm)
        return False

    def _candidate_sets(self, demand: GuaranteeDemand) -> Iterator[list[str]]:
        """Yield sets of VMs for a guarantee, the best fit first."""
        need = demand.guarantee.accelerators_per_vm
        missing = demand.guarantee.vms - len(demand.used_workers)
        options = []
        for group in _candidate_groups(demand, self.members, self.groups):
            self.examined += 1
            if self.sorted_capacities.count(group, need) < missing:
                continue
            fitting = self._fitting_workers(demand, group, missing)
            if len(fitting) >= missing:
                options.append((self._count_fitting(demand, group), fitting, group))
        options.sort(key=lambda option: option[:2])
        for _, fitting, _ in options:
            yield [worker_id for _, worker_id in fitting[:missing]]
        for _, _, group in options:
            yield from _sliding_windows(self._fitting_workers(demand, group), missing)

    def _fitting_workers(
        self, demand: GuaranteeDemand, group: TopologyGroup, limit: int | None = None
    ) -> list[tuple[int, str]]:
        """Return VMs with enough capacity for a guarantee, the best fit first.

        The limit applies only to a guarantee that uses no VMs yet and may use all.
        """
        need = demand.guarantee.accelerators_per_vm
        if not demand.used_workers and demand.allowed is None:
            fitting = self.sorted_capacities.fitting(group, need, limit)
            self.examined += len(fitting)
            return fitting
        fitting = self.sorted_capacities.fitting(group, need)
        self.examined += len(fitting)
        return [
            (capacity, worker_id)
            for capacity, worker_id in fitting
            if worker_id not in demand.used_workers
            and (demand.allowed is None or worker_id in demand.allowed)
        ]

    def _count_fitting(self, demand: GuaranteeDemand, group: TopologyGroup) -> int:
        if demand.used_workers or demand.allowed is not None:
            return len(self._fitting_workers(demand, group))
        return self.sorted_capacities.count(group, demand.guarantee.accelerators_per_vm)

    def _fill_sorted_lists(self) -> None:
        entries = [(capacity, worker_id) for worker_id, capacity in self.capacities.items()]
        self.examined += len(entries)
        self.sorted_capacities.add_all(entries)
        self.sorted_spares.add_all(entry for entry in entries if not self.booked[entry[1]])

    def _book(self, workers: list[str], accelerators: int) -> None:
        for worker_id in workers:
            self._remove_from_sorted_lists(worker_id)
            self.capacities[worker_id] -= accelerators
            self.booked[worker_id] += accelerators
            self._add_to_sorted_lists(worker_id)

    def _remove_from_sorted_lists(self, worker_id: str) -> None:
        self.sorted_capacities.remove(self.capacities[worker_id], worker_id)
        if not self.booked[worker_id]:
            self.sorted_spares.remove(self.capacities[worker_id], worker_id)

    def _add_to_sorted_lists(self, worker_id: str) -> None:
        self.sorted_capacities.add(self.capacities[worker_id], worker_id)
        if not self.booked[worker_id]:
            self.sorted_spares.add(self.capacities[worker_id], worker_id)

    def _keeps_margin(self, demand: GuaranteeDemand) -> bool:
        """Return whether the group of a guarantee just placed has enough spare VMs left."""
        if not self.margin_vms:
            return True
        group = self.groups[self.assignments[demand.key][0]][demand.guarantee.adjacency]
        self.examined += 1
        need = max(self.booked[vm] for vm in self.assignments[demand.key])
        return self.sorted_spares.count(group, need) >= self.margin_vms

    def _margin_holds(self) -> bool:
        if not self.margin_vms:
            return True
        self.examined += MARGIN_CHECK_COST * len(self.capacities)
        closest: dict[str, Adjacency] = {}
        for demand in self.demands:
            for worker_id in self.assignments[demand.key]:
                closest[worker_id] = min(
                    closest.get(worker_id, Adjacency.REGION),
                    demand.guarantee.adjacency,
                    key=ADJACENCY_ORDER.index,
                )
        booked = {worker_id: self.booked[worker_id] for worker_id in closest}
        return margin_holds(
            self.capacities, self.members, self.groups, booked, closest, self.margin_vms
        )


def _sliding_windows(fitting: list[tuple[int, str]], size: int) -> Iterator[list[str]]:
    """Yield runs of consecutive VMs with different capacities, without the first run."""
    seen = {tuple(capacity for capacity, _ in fitting[:size])}
    for start in range(1, len(fitting) - size + 1):
        window = fitting[start : start + size]
        capacities = tuple(capacity for capacity, _ in window)
        if capacities not in seen:
            seen.add(capacities)
            yield [worker_id for _, worker_id in window]


def _share_max_min(
    capacities: Mapping[str, int],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    demands: list[GuaranteeDemand],
) -> dict[GuaranteeKey, list[str]]:
    """Share the VMs max-min fairly.

    The next VM always goes to the guarantee with the smallest share of its VMs assigned.
    """
    remaining = dict(capacities)
    members = _members_by_group(groups)
    assignments = {demand.key: list(demand.used_workers) for demand in demands}
    for demand in demands:
        for worker_id in demand.used_workers:
            remaining[worker_id] -= demand.guarantee.accelerators_per_vm
    sorted_capacities = SortedCapacities(groups, {demand.guarantee.adjacency for demand in demands})
    sorted_capacities.add_all((capacity, worker_id) for worker_id, capacity in remaining.items())
    group_of_demand: dict[GuaranteeKey, TopologyGroup] = {}
    ordered_demands = sorted(demands, key=lambda demand: demand.key)
    queue = [
        (len(demand.used_workers) / demand.guarantee.vms, rank)
        for rank, demand in enumerate(ordered_demands)
        if len(demand.used_workers) < demand.guarantee.vms
    ]
    heapify(queue)
    while queue:
        _, rank = heappop(queue)
        demand = ordered_demands[rank]
        worker_id = _find_next_worker(
            demand, assignments[demand.key], sorted_capacities, members, groups, group_of_demand
        )
        if worker_id is None:
            continue
        assignments[demand.key].append(worker_id)
        sorted_capacities.remove(remaining[worker_id], worker_id)
        remaining[worker_id] -= demand.guarantee.accelerators_per_vm
        sorted_capacities.add(remaining[worker_id], worker_id)
        if len(assignments[demand.key]) < demand.guarantee.vms:
            heappush(queue, (len(assignments[demand.key]) / demand.guarantee.vms, rank))
    return assignments


def _find_next_worker(
    demand: GuaranteeDemand,
    assigned: list[str],
    sorted_capacities: SortedCapacities,
    members: Mapping[TopologyGroup, list[str]],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    group_of_demand: dict[GuaranteeKey, TopologyGroup],
) -> str | None:
    need = demand.guarantee.accelerators_per_vm
    if demand.key not in group_of_demand:
        candidates = _candidate_groups(demand, members, groups)
        if not candidates:
            return None
        group_of_demand[demand.key] = max(
            candidates, key=lambda group: sorted_capacities.count(group, need)
        )
    for _, worker_id in sorted_capacities.fitting(group_of_demand[demand.key], need):
        if worker_id not in assigned and (demand.allowed is None or worker_id in demand.allowed):
            return worker_id
    return None


def _search_order(demand: GuaranteeDemand) -> tuple[int, int, int, GuaranteeKey]:
    guarantee = demand.guarantee
    closeness = ADJACENCY_ORDER.index(guarantee.adjacency)
    return closeness, -guarantee.accelerators_per_vm, -guarantee.vms, demand.key


def _candidate_groups(
    demand: GuaranteeDemand,
    members: Mapping[TopologyGroup, list[str]],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
) -> list[TopologyGroup]:
    adjacency = demand.guarantee.adjacency
    if demand.used_workers:
        return [groups[next(iter(demand.used_workers))][adjacency]]
    return [group for group in members if group.adjacency is adjacency]


def _members_by_group(
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
) -> dict[TopologyGroup, list[str]]:
    members: dict[TopologyGroup, list[str]] = defaultdict(list)
    for worker_id, worker_groups in groups.items():
        for group in worker_groups.values():
            members[group].append(worker_id)
    return members

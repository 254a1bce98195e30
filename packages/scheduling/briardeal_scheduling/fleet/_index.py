"""Index of VMs by group and by a capacity, such as their free accelerators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_core.configuration import Adjacency
    from briardeal_scheduling.fleet._worker import TopologyGroup


@attrs.define
class CapacityIndex:
    """VMs in buckets of equal capacity, for every group that they belong to.

    Attributes
    ----------
    capacities
        Capacity of each VM.
    buckets
        VMs by group and capacity.
    totals
        Sum of the capacities of each group.
    examined
        VMs examined since the start, as a measure of the cost of decisions.
    """

    capacities: dict[str, int] = attrs.field(factory=dict)
    buckets: dict[TopologyGroup, dict[int, dict[str, None]]] = attrs.field(factory=dict)
    groups_by_adjacency: dict[Adjacency, list[TopologyGroup]] = attrs.field(factory=dict)
    totals: dict[TopologyGroup, int] = attrs.field(factory=dict)
    examined: int = 0

    def set(self, worker_id: str, groups: list[TopologyGroup], capacity: int) -> None:
        """Set the capacity of a VM; a negative one counts as 0."""
        capacity = max(0, capacity)
        previous = self.capacities.get(worker_id)
        if previous == capacity:
            return
        self.remove(worker_id, groups)
        self.capacities[worker_id] = capacity
        for group in groups:
            if group not in self.buckets:
                self.buckets[group] = {}
                self.groups_by_adjacency.setdefault(group.adjacency, []).append(group)
            self.buckets[group].setdefault(capacity, {})[worker_id] = None
            self.totals[group] = self.totals.get(group, 0) + capacity

    def remove(self, worker_id: str, groups: list[TopologyGroup]) -> None:
        """Remove a VM."""
        capacity = self.capacities.pop(worker_id, None)
        if capacity is None:
            return
        for group in groups:
            bucket = self.buckets[group][capacity]
            del bucket[worker_id]
            if not bucket:
                del self.buckets[group][capacity]
            self.totals[group] -= capacity

    def count(self, group: TopologyGroup, need: int) -> int:
        """Return how many VMs of a group have at least the needed capacity."""
        return sum(len(vms) for capacity, vms in self.buckets[group].items() if capacity >= need)

    def ascending(self, group: TopologyGroup, need: int) -> Iterator[tuple[int, dict[str, None]]]:
        """Yield the buckets with at least the needed capacity, the smallest first."""
        buckets = self.buckets[group]
        for capacity in sorted(capacity for capacity in buckets if capacity >= need):
            yield capacity, buckets[capacity]

"""Sorted lists of VM capacities by group, for the search of bookings."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from briardeal_core.configuration import Adjacency
    from briardeal_scheduling.fleet import TopologyGroup


class SortedCapacities:
    """VMs of each group, sorted by capacity.

    Parameters
    ----------
    groups
        Groups of each VM.
    adjacencies
        Adjacencies of the groups to keep; groups of other adjacencies are ignored.
    """

    def __init__(
        self, groups: Mapping[str, Mapping[Adjacency, TopologyGroup]], adjacencies: set[Adjacency]
    ) -> None:
        self._groups = {
            worker_id: [own[adjacency] for adjacency in adjacencies]
            for worker_id, own in groups.items()
        }
        self._lists: dict[TopologyGroup, list[tuple[int, str]]] = defaultdict(list)

    def add_all(self, capacities: Iterable[tuple[int, str]]) -> None:
        """Add many VMs at once."""
        for entry in sorted(capacities):
            for group in self._groups[entry[1]]:
                self._lists[group].append(entry)

    def add(self, capacity: int, worker_id: str) -> None:
        """Add a VM."""
        for group in self._groups[worker_id]:
            insort(self._lists[group], (capacity, worker_id))

    def remove(self, capacity: int, worker_id: str) -> None:
        """Remove a VM."""
        for group in self._groups[worker_id]:
            entries = self._lists[group]
            del entries[bisect_left(entries, (capacity, worker_id))]

    def count(self, group: TopologyGroup, need: int) -> int:
        """Return how many VMs of a group have at least the needed capacity."""
        entries = self._lists[group]
        return len(entries) - bisect_left(entries, (need, ""))

    def fitting(
        self, group: TopologyGroup, need: int, limit: int | None = None
    ) -> list[tuple[int, str]]:
        """Return VMs with at least the needed capacity, the smallest first, up to a limit."""
        entries = self._lists[group]
        start = bisect_left(entries, (need, ""))
        return entries[start:] if limit is None else entries[start : start + limit]

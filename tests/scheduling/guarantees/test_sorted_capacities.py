"""Sorted lists of VM capacities."""

from __future__ import annotations

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.fleet import TopologyGroup
from briardeal_scheduling.guarantees._sorted_capacities import SortedCapacities

RACK = Adjacency.RACK


def test_sorted_capacities_follow_changes():
    rack, other = TopologyGroup(RACK, "r1"), TopologyGroup(RACK, "r2")
    capacities = SortedCapacities(
        {"a": {RACK: rack}, "b": {RACK: rack}, "c": {RACK: other}}, {RACK}
    )
    capacities.add_all([(4, "b"), (4, "a"), (1, "c")])
    assert capacities.fitting(rack, 2) == [(4, "a"), (4, "b")]
    assert capacities.fitting(rack, 2, 1) == [(4, "a")]
    capacities.remove(4, "a")
    capacities.add(1, "a")
    assert capacities.fitting(rack, 2) == [(4, "b")]
    assert [capacities.count(rack, need) for need in (1, 2, 5)] == [2, 1, 0]
    assert capacities.count(other, 1) == 1

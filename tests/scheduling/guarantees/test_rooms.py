"""Tests of the VMs in the order of their room."""

from __future__ import annotations

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.fleet import TopologyGroup
from briardeal_scheduling.guarantees._rooms import SortedRooms

RACK = Adjacency.RACK


def test_rooms_follow_changes():
    rack, other = TopologyGroup(RACK, "r1"), TopologyGroup(RACK, "r2")
    rooms = SortedRooms({"a": {RACK: rack}, "b": {RACK: rack}, "c": {RACK: other}}, {RACK})
    rooms.fill([(4, "b"), (4, "a"), (1, "c")])
    assert rooms.fitting(rack, 2) == [(4, "a"), (4, "b")]
    assert rooms.fitting(rack, 2, 1) == [(4, "a")]
    rooms.remove(4, "a")
    rooms.add(1, "a")
    assert rooms.fitting(rack, 2) == [(4, "b")]
    assert [rooms.count(rack, need) for need in (1, 2, 5)] == [2, 1, 0]
    assert rooms.count(other, 1) == 1

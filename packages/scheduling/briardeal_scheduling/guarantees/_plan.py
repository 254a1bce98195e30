"""Search for VMs that hold every guaranteed shape at once."""

from __future__ import annotations

from collections import defaultdict
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

import attrs

from briardeal_core.configuration import Adjacency
from briardeal_scheduling.guarantees._margin import margin_holds
from briardeal_scheduling.guarantees._rooms import SortedRooms

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from briardeal_core.configuration import Guarantee
    from briardeal_scheduling.fleet import TopologyGroup

FINENESS = [Adjacency.RACK, Adjacency.FAILURE_DOMAIN, Adjacency.REGION]
SEARCH_LIMIT = 40_000
"""VMs looked at before a search is given up."""


MARGIN_CHECK_COST = 30
"""What the check of the failure margin counts for in the search, per VM."""


@attrs.frozen(order=True)
class GuaranteeKey:
    """A guarantee, by its customer and its position there."""

    customer: str
    position: int


@attrs.frozen
class Want:
    """A guarantee to find VMs for.

    Parameters
    ----------
    key, guarantee
        The guarantee.
    claims
        VMs where its customer uses it already, with the job; these stay.
    allowed
        VMs that may be taken; all where `None`.
    """

    key: GuaranteeKey
    guarantee: Guarantee
    claims: dict[str, str] = attrs.field(factory=dict)
    allowed: frozenset[str] | None = None


@attrs.define
class Plan:
    """VMs for each guarantee.

    Parameters
    ----------
    slots
        The VMs by guarantee; fewer than wanted where `whole` is false.
    whole
        Whether every guarantee has all its VMs.
    margin_held
        Whether that stays so when as many VMs fail as the margin says.
    examined
        VMs looked at in the search, for measuring its cost.
    """

    slots: dict[GuaranteeKey, list[str]]
    whole: bool
    margin_held: bool
    examined: int = 0


def make_plan(
    rooms: Mapping[str, int],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    wants: list[Want],
    margin_vms: int,
) -> Plan:
    """Set VMs aside for all guarantees.

    Parameters
    ----------
    rooms
        Accelerators of each VM that guarantees may take.
    groups
        Groups of each VM.
    wants
        The guarantees.
    margin_vms
        VMs that may fail.

    Returns
    -------
    Plan
        With the margin where possible, else without, else shared by the smallest part met.
    """
    examined = 0
    for margin in dict.fromkeys((margin_vms, 0)):
        search = _Search(rooms, groups, wants, margin)
        slots = search.run()
        examined += search.examined
        if slots is not None:
            return Plan(slots, True, margin == margin_vms, examined)
    return Plan(_share(rooms, groups, wants), False, False, examined)


class _Search:
    """Depth-first search over the group of each guarantee."""

    def __init__(
        self,
        rooms: Mapping[str, int],
        groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
        wants: list[Want],
        margin_vms: int,
    ) -> None:
        self.rooms = dict(rooms)
        self.groups = groups
        self.margin_vms = margin_vms
        self.members = _members(groups)
        self.slots: dict[GuaranteeKey, list[str]] = {}
        self.booked: dict[str, int] = defaultdict(int)
        self.examined = 0
        self.wants = sorted(wants, key=_difficulty)
        for want in wants:
            for worker_id in want.claims:
                self.rooms[worker_id] -= want.guarantee.accelerators_per_vm
                self.booked[worker_id] += want.guarantee.accelerators_per_vm
        adjacencies = {want.guarantee.adjacency for want in wants}
        self.sorted_rooms = SortedRooms(groups, adjacencies)
        self.sorted_spares = SortedRooms(groups, adjacencies)
        self._fill()

    def run(self) -> dict[GuaranteeKey, list[str]] | None:
        """Return the VMs for each guarantee, or `None` where none were found."""
        if min(self.rooms.values(), default=0) < 0:
            return None
        return self.slots if self._extend(0) else None

    def _extend(self, position: int) -> bool:
        if position == len(self.wants):
            return self._margin_holds()
        want = self.wants[position]
        for chosen in self._choices(want):
            if self.examined > SEARCH_LIMIT:
                return False
            self._take(chosen, want.guarantee.accelerators_per_vm)
            self.slots[want.key] = [*want.claims, *chosen]
            if self._keeps_margin(want) and self._extend(position + 1):
                return True
            self._take(chosen, -want.guarantee.accelerators_per_vm)
        return False

    def _choices(self, want: Want) -> Iterator[list[str]]:
        """Yield sets of VMs for a guarantee, the tightest first."""
        need = want.guarantee.accelerators_per_vm
        missing = want.guarantee.vms - len(want.claims)
        options = []
        for group in _groups_for(want, self.members, self.groups):
            self.examined += 1
            if self.sorted_rooms.count(group, need) < missing:
                continue
            fitting = self._fitting(want, group, missing)
            if len(fitting) >= missing:
                options.append((self._fitting_count(want, group), fitting, group))
        options.sort(key=lambda option: option[:2])
        for _, fitting, _ in options:
            yield [worker_id for _, worker_id in fitting[:missing]]
        for _, _, group in options:
            yield from _windows(self._fitting(want, group), missing)

    def _fitting(
        self, want: Want, group: TopologyGroup, limit: int | None = None
    ) -> list[tuple[int, str]]:
        """Return VMs for a guarantee, the tightest first; where it may take any, up to a limit."""
        need = want.guarantee.accelerators_per_vm
        if not want.claims and want.allowed is None:
            fitting = self.sorted_rooms.fitting(group, need, limit)
            self.examined += len(fitting)
            return fitting
        fitting = self.sorted_rooms.fitting(group, need)
        self.examined += len(fitting)
        return [
            (room, worker_id)
            for room, worker_id in fitting
            if worker_id not in want.claims and (want.allowed is None or worker_id in want.allowed)
        ]

    def _fitting_count(self, want: Want, group: TopologyGroup) -> int:
        if want.claims or want.allowed is not None:
            return len(self._fitting(want, group))
        return self.sorted_rooms.count(group, want.guarantee.accelerators_per_vm)

    def _fill(self) -> None:
        entries = [(room, worker_id) for worker_id, room in self.rooms.items()]
        self.examined += len(entries)
        self.sorted_rooms.fill(entries)
        self.sorted_spares.fill(entry for entry in entries if not self.booked[entry[1]])

    def _take(self, workers: list[str], accelerators: int) -> None:
        for worker_id in workers:
            self._drop(worker_id)
            self.rooms[worker_id] -= accelerators
            self.booked[worker_id] += accelerators
            self._put(worker_id)

    def _drop(self, worker_id: str) -> None:
        self.sorted_rooms.remove(self.rooms[worker_id], worker_id)
        if not self.booked[worker_id]:
            self.sorted_spares.remove(self.rooms[worker_id], worker_id)

    def _put(self, worker_id: str) -> None:
        self.sorted_rooms.add(self.rooms[worker_id], worker_id)
        if not self.booked[worker_id]:
            self.sorted_spares.add(self.rooms[worker_id], worker_id)

    def _keeps_margin(self, want: Want) -> bool:
        """Return whether the group of a guarantee just placed still has its spare VMs."""
        if not self.margin_vms:
            return True
        group = self.groups[self.slots[want.key][0]][want.guarantee.adjacency]
        self.examined += 1
        need = max(self.booked[vm] for vm in self.slots[want.key])
        return self.sorted_spares.count(group, need) >= self.margin_vms

    def _margin_holds(self) -> bool:
        if not self.margin_vms:
            return True
        self.examined += MARGIN_CHECK_COST * len(self.rooms)
        finest: dict[str, Adjacency] = {}
        for want in self.wants:
            for worker_id in self.slots[want.key]:
                finest[worker_id] = min(
                    finest.get(worker_id, Adjacency.REGION),
                    want.guarantee.adjacency,
                    key=FINENESS.index,
                )
        booked = {worker_id: self.booked[worker_id] for worker_id in finest}
        return margin_holds(self.rooms, self.members, self.groups, booked, finest, self.margin_vms)


def _windows(fitting: list[tuple[int, str]], size: int) -> Iterator[list[str]]:
    """Yield runs of VMs by their room, one for each different set of rooms, but for the first."""
    seen = {tuple(room for room, _ in fitting[:size])}
    for start in range(1, len(fitting) - size + 1):
        window = fitting[start : start + size]
        rooms = tuple(room for room, _ in window)
        if rooms not in seen:
            seen.add(rooms)
            yield [worker_id for _, worker_id in window]


def _share(
    rooms: Mapping[str, int],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    wants: list[Want],
) -> dict[GuaranteeKey, list[str]]:
    """Give VMs one at a time to the guarantee of which the smallest part is met."""
    left = dict(rooms)
    members = _members(groups)
    slots = {want.key: list(want.claims) for want in wants}
    for want in wants:
        for worker_id in want.claims:
            left[worker_id] -= want.guarantee.accelerators_per_vm
    sorted_rooms = SortedRooms(groups, {want.guarantee.adjacency for want in wants})
    sorted_rooms.fill((room, worker_id) for worker_id, room in left.items())
    homes: dict[GuaranteeKey, TopologyGroup] = {}
    by_key = sorted(wants, key=lambda want: want.key)
    shares = [
        (len(want.claims) / want.guarantee.vms, rank)
        for rank, want in enumerate(by_key)
        if len(want.claims) < want.guarantee.vms
    ]
    heapify(shares)
    while shares:
        _, rank = heappop(shares)
        want = by_key[rank]
        worker_id = _next_vm(want, slots[want.key], sorted_rooms, members, groups, homes)
        if worker_id is None:
            continue
        slots[want.key].append(worker_id)
        sorted_rooms.remove(left[worker_id], worker_id)
        left[worker_id] -= want.guarantee.accelerators_per_vm
        sorted_rooms.add(left[worker_id], worker_id)
        if len(slots[want.key]) < want.guarantee.vms:
            heappush(shares, (len(slots[want.key]) / want.guarantee.vms, rank))
    return slots


def _next_vm(
    want: Want,
    taken: list[str],
    sorted_rooms: SortedRooms,
    members: Mapping[TopologyGroup, list[str]],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
    homes: dict[GuaranteeKey, TopologyGroup],
) -> str | None:
    need = want.guarantee.accelerators_per_vm
    if want.key not in homes:
        found = _groups_for(want, members, groups)
        if not found:
            return None
        homes[want.key] = max(found, key=lambda group: sorted_rooms.count(group, need))
    for _, worker_id in sorted_rooms.fitting(homes[want.key], need):
        if worker_id not in taken and (want.allowed is None or worker_id in want.allowed):
            return worker_id
    return None


def _difficulty(want: Want) -> tuple[int, int, int, GuaranteeKey]:
    guarantee = want.guarantee
    fineness = FINENESS.index(guarantee.adjacency)
    return fineness, -guarantee.accelerators_per_vm, -guarantee.vms, want.key


def _groups_for(
    want: Want,
    members: Mapping[TopologyGroup, list[str]],
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
) -> list[TopologyGroup]:
    adjacency = want.guarantee.adjacency
    if want.claims:
        return [groups[next(iter(want.claims))][adjacency]]
    return [group for group in members if group.adjacency is adjacency]


def _members(
    groups: Mapping[str, Mapping[Adjacency, TopologyGroup]],
) -> dict[TopologyGroup, list[str]]:
    members: dict[TopologyGroup, list[str]] = defaultdict(list)
    for worker_id, own in groups.items():
        for group in own.values():
            members[group].append(worker_id)
    return members

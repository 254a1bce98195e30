"""Choice of VMs for the tasks of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._vms import Need, Vm
    from briardeal_workflow.planning._work import Group

DATA_WAIT_FACTOR = 2.0
"""Multiple of its run time that a task waits for the rack of its data: elsewhere it takes three."""


@attrs.frozen
class Placement:
    """Where tasks go.

    Parameters
    ----------
    vms
        VM of each task, by index.
    victims
        Starts that have to be stopped first.
    cost
        What stopping them loses, in seconds times cores.
    """

    vms: dict[int, str]
    victims: tuple[Attempt, ...] = ()
    cost: float = 0.0

    @property
    def rank(self) -> tuple[bool, float]:
        """Where it stands among placements, the best first.

        Urgent work that is stopped would in turn stop others, so that less urgent work goes first.
        """
        return any(attempt.urgent for attempt in self.victims), self.cost


class Rooms:
    """Room of VMs while a placement is tried out.

    Parameters
    ----------
    vms
        The VMs to choose from.
    measure
        Returns the room of one.
    """

    def __init__(self, vms: Iterable[Vm], measure: Callable[[Vm], Need]) -> None:
        self.vms = {vm.vm_id: vm for vm in vms}
        self.rooms = {vm_id: measure(vm) for vm_id, vm in self.vms.items()}
        self.placed: dict[str, int] = {}
        self.victims: dict[int, Attempt] = {}

    def within_limit(self, group: Group, vm: Vm) -> bool:
        """Return whether a VM may take one more task of a group."""
        limit = group.step.per_vm_limit
        here = vm.count_of(group.group_id) + self.placed.get(vm.vm_id, 0)
        return not limit or here < limit

    def take(self, group: Group, vm_id: str) -> None:
        """Note that a task of a group goes to a VM."""
        self.rooms[vm_id] = self.rooms[vm_id].minus(group.need)
        self.placed[vm_id] = self.placed.get(vm_id, 0) + 1

    def free_up(self, attempts: Iterable[Attempt]) -> None:
        """Note that starts are stopped."""
        for attempt in attempts:
            if id(attempt) in self.victims:
                continue
            self.victims[id(attempt)] = attempt
            if attempt.vm_id in self.rooms:
                self.rooms[attempt.vm_id] = self.rooms[attempt.vm_id].plus(attempt.need)


def place_in_room(
    vms: Sequence[Vm], group: Group, indices: Sequence[int], now_s: float
) -> Placement | None:
    """Return VMs with room for the tasks; for a gang all or none.

    The VMs of a gang that is sensitive to racks are on one rack where any rack can hold it.
    """
    best: Placement | None = None
    for pool in _pools(vms, group, now_s):
        rooms = Rooms(pool, lambda vm: vm.room())
        chosen: dict[int, str] = {}
        for index in indices:
            vm = _tightest(rooms, group, index, now_s)
            if vm is None:
                if group.step.gang:
                    break
                continue
            rooms.take(group, vm.vm_id)
            chosen[index] = vm.vm_id
        if len(chosen) == len(indices):
            return Placement(chosen)
        if chosen and not group.step.gang and (best is None or len(chosen) > len(best.vms)):
            best = Placement(chosen)
    return best


def place_by_preemption(
    vms: Sequence[Vm],
    group: Group,
    indices: Sequence[int],
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
) -> Placement | None:
    """Return VMs for the tasks and the starts to stop there, losing little work.

    Parameters
    ----------
    victims_of
        Returns what ends along with a start, itself included; `None` where it must go on.
    """
    best: Placement | None = None
    for pool in _pools(vms, group, now_s):
        placement = _preempt_in(pool, group, indices, now_s, victims_of)
        if placement is not None and (best is None or placement.rank < best.rank):
            best = placement
    return best


def place_on_soonest(
    vms: Sequence[Vm],
    group: Group,
    indices: Sequence[int],
    now_s: float,
    left_s: Callable[[Attempt], float],
) -> Placement | None:
    """Return the VMs that have room for tasks soonest when nothing else starts on them.

    Parameters
    ----------
    left_s
        Returns for how long a start will run on, in seconds.
    """
    best: tuple[float, Placement] | None = None
    for pool in _pools(vms, group, now_s):
        rooms = Rooms(pool, lambda vm: vm.room())
        waits_s = {vm.vm_id: _time_to_room(rooms, vm, group, left_s) for vm in pool}
        chosen: dict[int, str] = {}
        last_s = 0.0
        for index in indices:
            vm_id = min(waits_s, key=lambda each: (waits_s[each], each), default="")
            if not vm_id or math.isinf(waits_s[vm_id]):
                break
            last_s = max(last_s, waits_s[vm_id])
            chosen[index] = vm_id
            rooms.take(group, vm_id)
            waits_s[vm_id] = _time_to_room(rooms, rooms.vms[vm_id], group, left_s)
        if len(chosen) == len(indices) and (best is None or last_s < best[0]):
            best = (last_s, Placement(chosen))
    return None if best is None else best[1]


def fits_somewhere(vms: Iterable[Vm], group: Group) -> bool:
    """Return whether some VM could hold a task of a group if it were empty."""
    return any(_suits(vm, group) and group.need.within(vm.shape.capacity) for vm in vms)


def _pools(vms: Sequence[Vm], group: Group, now_s: float) -> list[list[Vm]]:
    """Return the sets of VMs to try, the best first."""
    step = group.step
    suited = _trusted(vms, group, now_s)
    near = [vm for vm in suited if vm.shape.rack == step.data_rack]
    waited_s = now_s - (now_s if group.ready_s is None else group.ready_s)
    if step.data_rack and any(group.need.within(vm.shape.capacity) for vm in near):
        patient = waited_s < DATA_WAIT_FACTOR * step.estimate_s
        return [near] if patient else [near, suited]
    if not (step.rack_sensitive and step.gang and step.tasks > 1):
        return [suited]
    racks: dict[str, list[Vm]] = {}
    for vm in suited:
        racks.setdefault(vm.shape.rack, []).append(vm)
    able = [rack for rack in racks.values() if _holds_when_empty(rack, group)]
    able.sort(key=lambda rack: sum(vm.room().weight for vm in rack))
    if able and waited_s < DATA_WAIT_FACTOR * step.estimate_s:
        return able
    return [*able, suited]


def _trusted(vms: Sequence[Vm], group: Group, now_s: float) -> list[Vm]:
    """Return the VMs that may take a group; distrusted ones only where the others can't hold it."""
    suited = [vm for vm in vms if vm.open and _suits(vm, group)]
    trusted = [vm for vm in suited if vm.is_trusted(now_s)]
    if len(trusted) == len(suited):
        return suited
    if group.step.gang:
        able = _holds_when_empty(trusted, group)
    else:
        able = any(group.need.within(vm.shape.capacity) for vm in trusted)
    return trusted if able else suited


def _holds_when_empty(vms: Sequence[Vm], group: Group) -> bool:
    rooms = Rooms(vms, lambda vm: vm.shape.capacity)
    for _ in range(group.step.tasks):
        vm_id = next((each for each, room in rooms.rooms.items() if group.need.within(room)), None)
        if vm_id is None:
            return False
        rooms.take(group, vm_id)
    return True


def _suits(vm: Vm, group: Group) -> bool:
    return not group.step.label or group.step.label in vm.shape.labels


def _tightest(rooms: Rooms, group: Group, index: int, now_s: float) -> Vm | None:
    """Return the VM with room that leaves the least of it."""
    fitting = [
        vm
        for vm_id, vm in rooms.vms.items()
        if group.need.within(rooms.rooms[vm_id]) and rooms.within_limit(group, vm)
    ]
    return min(fitting, key=lambda vm: _preference(rooms, group, index, vm, now_s), default=None)


def _preference(
    rooms: Rooms, group: Group, index: int, vm: Vm, now_s: float
) -> tuple[bool, bool, int, float, str]:
    left = rooms.rooms[vm.vm_id].minus(group.need)
    distrusted = not vm.is_trusted(now_s)
    failed_here = vm.vm_id in group.failed_on.get(index, ())
    return (distrusted, failed_here, left.accelerators, left.weight, vm.vm_id)


def _time_to_room(rooms: Rooms, vm: Vm, group: Group, left_s: Callable[[Attempt], float]) -> float:
    """Return in how many seconds one more task of a group fits on a VM; infinite for never."""
    if not rooms.within_limit(group, vm):
        return math.inf
    room = rooms.rooms[vm.vm_id]
    if group.need.within(room):
        return 0.0
    for ends_s, attempt in sorted(
        ((left_s(attempt), attempt) for attempt in vm.attempts.values()), key=lambda pair: pair[0]
    ):
        room = room.plus(attempt.need)
        if group.need.within(room):
            return ends_s
    return math.inf


def _preempt_in(
    pool: Sequence[Vm],
    group: Group,
    indices: Sequence[int],
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
) -> Placement | None:
    rooms = Rooms(pool, lambda vm: vm.room_to_come())
    chosen: dict[int, str] = {}
    for index in indices:
        choices = [
            (victims, vm)
            for vm in pool
            if rooms.within_limit(group, vm)
            and (victims := _victims_on(rooms, vm, group, now_s, victims_of)) is not None
        ]
        if not choices:
            return None
        victims, vm = min(
            choices,
            key=lambda choice: (
                not choice[1].is_trusted(now_s),
                _rank(choice[0], now_s),
                _preference(rooms, group, index, choice[1], now_s),
            ),
        )
        rooms.free_up(victims)
        rooms.take(group, vm.vm_id)
        chosen[index] = vm.vm_id
    stopped = tuple(rooms.victims.values())
    return Placement(chosen, stopped, _cost(stopped, now_s))


def _victims_on(
    rooms: Rooms,
    vm: Vm,
    group: Group,
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
) -> tuple[Attempt, ...] | None:
    """Return what to stop so that one more task fits on a VM; nothing where it fits already."""
    room = rooms.rooms[vm.vm_id]
    if group.need.within(room):
        return ()
    options = []
    for attempt in vm.attempts.values():
        if id(attempt) in rooms.victims:
            continue
        ending = victims_of(attempt)
        if ending is not None:
            options.append((_rank(ending, now_s), attempt, ending))
    options.sort(key=lambda option: option[0])
    taken = []
    for option in options:
        if group.need.within(room):
            break
        room = room.plus(option[1].need)
        taken.append(option)
    if not group.need.within(room):
        return None
    # The cheapest ones were taken first; those that turned out not to be needed go on.
    for option in taken[::-1]:
        without = room.minus(option[1].need)
        if group.need.within(without):
            room = without
            taken.remove(option)
    return tuple(attempt for _, _, ending in taken for attempt in ending)


def _rank(attempts: Iterable[Attempt], now_s: float) -> tuple[bool, float]:
    """Return how soon starts are stopped; urgent ones last, else those that lose least first."""
    return any(attempt.urgent for attempt in attempts), _cost(attempts, now_s)


def _cost(attempts: Iterable[Attempt], now_s: float) -> float:
    return sum(attempt.unsaved_work(now_s) for attempt in attempts)

"""Choice of starts to stop, so that the tasks of a group find room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._placement import Placement, Rooms, find_pools, prefer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._vms import Vm
    from briardeal_workflow.planning._work import Group


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
    for pool in find_pools(vms, group, now_s):
        placement = _preempt_in(pool, group, indices, now_s, victims_of)
        if placement is not None and (best is None or placement.rank < best.rank):
            best = placement
    return best


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
                prefer(rooms, group, index, choice[1], now_s),
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

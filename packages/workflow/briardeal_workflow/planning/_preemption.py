"""Choice of attempts to preempt for the tasks of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_workflow.planning._placement import (
    Placement,
    TentativeCapacity,
    find_pools,
    vm_preference,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from briardeal_workflow.planning._active_jobs import TaskGroup
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._vms import Vm


def place_by_preemption(
    vms: Sequence[Vm],
    group: TaskGroup,
    indices: Sequence[int],
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
    cost_of: Callable[[Attempt], float],
) -> Placement | None:
    """Return VMs for the tasks and the attempts to stop there, at a low cost.

    Parameters
    ----------
    victims_of
        Returns all attempts that stop together with an attempt, including itself; `None` if the
        attempt must not be stopped.
    cost_of
        Returns the cost of stopping an attempt, in core-seconds.
    """
    best: Placement | None = None
    for pool in find_pools(vms, group, now_s):
        placement = _preempt_in(pool, group, indices, now_s, victims_of, cost_of)
        if placement is not None and (best is None or placement.rank < best.rank):
            best = placement
    return best


def _preempt_in(
    pool: Sequence[Vm],
    group: TaskGroup,
    indices: Sequence[int],
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
    cost_of: Callable[[Attempt], float],
) -> Placement | None:
    capacity = TentativeCapacity(pool, lambda vm: vm.expected_capacity())
    chosen: dict[int, str] = {}
    for index in indices:
        choices = [
            (victims, vm)
            for vm in pool
            if capacity.allows_one_more(group, vm)
            and (victims := _victims_on(capacity, vm, group, victims_of, cost_of)) is not None
        ]
        if not choices:
            return None
        victims, vm = min(
            choices,
            key=lambda choice: (
                not choice[1].is_healthy(now_s),
                _rank(choice[0], cost_of),
                vm_preference(capacity, group, index, choice[1], now_s),
            ),
        )
        capacity.release(victims)
        capacity.place(group, vm.vm_id)
        chosen[index] = vm.vm_id
    stopped = tuple(capacity.victims.values())
    lost_core_s = sum(attempt.unsaved_core_s(now_s) for attempt in stopped)
    return Placement(chosen, stopped, sum(map(cost_of, stopped)), lost_core_s)


def _victims_on(
    capacity: TentativeCapacity,
    vm: Vm,
    group: TaskGroup,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
    cost_of: Callable[[Attempt], float],
) -> tuple[Attempt, ...] | None:
    """Return the attempts to stop so that one more task fits on a VM; none if it fits already."""
    free = capacity.free[vm.vm_id]
    if group.task_resources.fits_in(free):
        return ()
    options = []
    for attempt in vm.attempts.values():
        if id(attempt) in capacity.victims:
            continue
        victims = victims_of(attempt)
        if victims is not None:
            options.append((_rank(victims, cost_of), attempt, victims))
    options.sort(key=lambda option: option[0])
    selected = []
    for option in options:
        if group.task_resources.fits_in(free):
            break
        free = free.plus(option[1].resources)
        selected.append(option)
    if not group.task_resources.fits_in(free):
        return None
    # The cheapest were selected first; drop those that a later, larger one made unnecessary.
    for option in selected[::-1]:
        reduced = free.minus(option[1].resources)
        if group.task_resources.fits_in(reduced):
            free = reduced
            selected.remove(option)
    return tuple(attempt for _, _, victims in selected for attempt in victims)


def _rank(attempts: Collection[Attempt], cost_of: Callable[[Attempt], float]) -> tuple[bool, float]:
    """Return the sort key for stopping: urgent attempts last, then by the cost."""
    return any(attempt.urgent for attempt in attempts), sum(map(cost_of, attempts))

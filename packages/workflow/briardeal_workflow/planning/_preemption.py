"""Choice of attempts to preempt for the tasks of a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._placement import (
    Placement,
    TentativeCapacity,
    find_pools,
    vm_preference,
)
from briardeal_workflow.planning._vms import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Resources, Vm


_Rank = tuple[bool, float]
"""Sort key of attempts to stop: whether any is urgent, then the cost in core-seconds."""


def place_by_preemption(
    vms: Sequence[Vm],
    group: TaskGroup,
    indices: Sequence[int],
    now_s: float,
    victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
    cost_of: Callable[[Attempt], float],
    ends_soon: Callable[[Attempt], bool] = lambda _: False,
) -> Placement | None:
    """Return VMs for the tasks and the attempts to stop there, at a low cost.

    Parameters
    ----------
    victims_of
        Returns all attempts that stop together with an attempt, including itself; `None` if the
        attempt must not be stopped.
    cost_of
        Returns the cost of stopping an attempt, in core-seconds.
    ends_soon
        Returns whether an attempt ends by itself before a stop would free its capacity. Such
        attempts are waited for instead.
    """
    candidates = _Candidates(victims_of, cost_of, ends_soon)
    best: Placement | None = None
    for pool in find_pools(vms, group, now_s):
        placement = _Preemption(pool, group, now_s, candidates).place(indices)
        if placement is not None and (best is None or placement.rank < best.rank):
            best = placement
    return best


@attrs.frozen(eq=False)
class _Candidate:
    """An attempt that may be stopped, all attempts that stop with it, and their sort key."""

    attempt: Attempt
    victims: tuple[Attempt, ...]
    rank: _Rank


class _Candidates:
    """Attempts that may be stopped; each gang and each VM is looked at once.

    Parameters
    ----------
    victims_of, cost_of, ends_soon
        See `place_by_preemption`.
    """

    def __init__(
        self,
        victims_of: Callable[[Attempt], tuple[Attempt, ...] | None],
        cost_of: Callable[[Attempt], float],
        ends_soon: Callable[[Attempt], bool],
    ) -> None:
        self.victims_of = victims_of
        self.cost_of = cost_of
        self.ends_soon = ends_soon
        self._awaited_by_vm: dict[str, Resources] = {}
        self._by_attempt: dict[int, _Candidate] = {}
        self._by_vm: dict[str, list[_Candidate]] = {}

    def on(self, vm: Vm) -> list[_Candidate]:
        """Return the attempts on a VM that may be stopped, the cheapest first."""
        found = self._by_vm.get(vm.vm_id)
        if found is None:
            candidates = (self._find(attempt) for attempt in vm.attempts.values())
            found = [each for each in candidates if each is not None]
            found.sort(key=lambda each: each.rank)
            self._by_vm[vm.vm_id] = found
        return found

    def capacity_of(self, vm: Vm) -> Resources:
        """Return the unclaimed capacity of a VM once what stops or is waited for has ended."""
        awaited = self.awaited_on(vm)
        free = vm.expected_capacity()
        return free if awaited is NO_RESOURCES else free.plus(awaited)

    def awaited_on(self, vm: Vm) -> Resources:
        """Return what attempts on a VM occupy that end by themselves before a stop would."""
        awaited = self._awaited_by_vm.get(vm.vm_id)
        if awaited is None:
            awaited = NO_RESOURCES
            for attempt in vm.attempts.values():
                if attempt.phase is not AttemptPhase.STOPPING and self.ends_soon(attempt):
                    awaited = awaited.plus(attempt.resources)
            self._awaited_by_vm[vm.vm_id] = awaited
        return awaited

    def rank(self, attempts: Collection[Attempt]) -> _Rank:
        """Return the sort key for stopping: urgent attempts last, then by the cost."""
        return any(attempt.urgent for attempt in attempts), sum(map(self.cost_of, attempts))

    def _find(self, attempt: Attempt) -> _Candidate | None:
        if id(attempt) not in self._by_attempt:
            victims = None if self.ends_soon(attempt) else self.victims_of(attempt)
            if victims is None:
                return None
            rank = self.rank(victims)
            for member in victims:
                self._by_attempt[id(member)] = _Candidate(member, victims, rank)
        return self._by_attempt[id(attempt)]


class _Preemption:
    """Placement of a group's tasks in one pool of VMs by stopping other attempts.

    Parameters
    ----------
    pool, group, now_s
        VMs to choose from, group of the tasks, and the current time.
    candidates
        Attempts that may be stopped.
    """

    def __init__(
        self, pool: Sequence[Vm], group: TaskGroup, now_s: float, candidates: _Candidates
    ) -> None:
        self.vms = {vm.vm_id: vm for vm in pool}
        self.group = group
        self.now_s = now_s
        self.candidates = candidates
        self.capacity = TentativeCapacity(pool, candidates.capacity_of)
        self._choices: dict[str, tuple[_Rank, list[_Candidate]] | None] = {}

    def place(self, indices: Sequence[int]) -> Placement | None:
        """Return VMs for all tasks with the given indices, or `None` if they do not fit."""
        chosen: dict[int, str] = {}
        for index in indices:
            vm = self._choose(index)
            if vm is None:
                return None
            _, candidates = self._choices[vm.vm_id]
            victims = [attempt for each in candidates for attempt in each.victims]
            self.capacity.release(victims)
            self.capacity.place(self.group, vm.vm_id)
            chosen[index] = vm.vm_id
            for vm_id in {vm.vm_id, *(attempt.vm_id for attempt in victims)}:
                self._choices.pop(vm_id, None)
        stopped = tuple(self.capacity.victims.values())
        lost_core_s = sum(attempt.stop_loss_core_s(self.now_s) for attempt in stopped)
        cost_core_s = sum(map(self.candidates.cost_of, stopped))
        awaited_vms = frozenset(filter(self._depends_on_ends, set(chosen.values())))
        return Placement(chosen, stopped, cost_core_s, lost_core_s, awaited_vms=awaited_vms)

    def _depends_on_ends(self, vm_id: str) -> bool:
        """Return whether the tasks placed on a VM only fit once others have ended."""
        free = self.capacity.free[vm_id].minus(self.candidates.awaited_on(self.vms[vm_id]))
        return not NO_RESOURCES.fits_in(free)

    def _choose(self, index: int) -> Vm | None:
        """Return the VM on which one more task fits at the lowest cost."""
        lowest, cheapest = None, []
        for vm_id, vm in self.vms.items():
            if self.group.refusal_pause_s(index, vm_id, self.now_s):
                continue
            if vm_id not in self._choices:
                self._choices[vm_id] = self._find_choice(vm)
            choice = self._choices[vm_id]
            if choice is None:
                continue
            cost = (not vm.is_healthy(self.now_s), choice[0])
            if lowest is None or cost < lowest:
                lowest, cheapest = cost, []
            if cost == lowest:
                cheapest.append(vm)
        return min(
            cheapest,
            key=lambda vm: vm_preference(self.capacity, self.group, index, vm, self.now_s),
            default=None,
        )

    def _find_choice(self, vm: Vm) -> tuple[_Rank, list[_Candidate]] | None:
        """Return the attempts to stop so that one more task fits on a VM, and their sort key.

        There are no such attempts if it fits already; returns `None` if it cannot be made to fit.
        """
        capacity, task_resources = self.capacity, self.group.task_resources
        if not capacity.allows_one_more(self.group, vm):
            return None
        free = capacity.free[vm.vm_id]
        selected: list[_Candidate] = []
        for candidate in () if task_resources.fits_in(free) else self.candidates.on(vm):
            if task_resources.fits_in(free):
                break
            if id(candidate.attempt) in capacity.victims:
                continue
            free = free.plus(candidate.attempt.resources)
            selected.append(candidate)
        if not task_resources.fits_in(free):
            return None
        # The cheapest were selected first; drop those that a later, larger one made unnecessary.
        for candidate in selected[::-1]:
            reduced = free.minus(candidate.attempt.resources)
            if task_resources.fits_in(reduced):
                free = reduced
                selected.remove(candidate)
        ranks = [each.rank for each in selected]
        return (any(urgent for urgent, _ in ranks), sum(cost for _, cost in ranks)), selected

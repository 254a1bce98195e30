"""Choice of tasks that run on slow VMs and would end sooner on another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import (
    ATTEMPT_NUMBERS_PER_EPOCH,
    DONE_PERCENT,
    AttemptPhase,
)
from briardeal_workflow.planning._losses import LossCause
from briardeal_workflow.planning._pace_observer import comparable_step, usual_rate
from briardeal_workflow.planning._paces import PaceClass
from briardeal_workflow.planning._placement import place_on_free_capacity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._task_groups import TaskGroup
    from briardeal_workflow.planning._vms import Vm

RESTART_DELAY_S = 0.3
"""Time that a restart takes beside the stop: restoring, and the delay of the orders."""

LEAST_SPELL_S = 5.0
"""Least time for which a slow VM is expected to stay slow; slow spells last 5 to 10 s. One that has
lasted longer is expected to last as long again, so that at most about twice the best choice in
hindsight is lost."""

MIN_GAIN_S = 1.0
"""Time by which a task must be expected to end sooner; percentages and paces are rough."""

MIN_GAIN_FACTOR = 1.4
"""Ratio of the times to the end of the task, where it runs and elsewhere, from which it is moved. A
move takes up capacity of usual VMs that jobs to come would have used, so a small gain of the task
makes other jobs later."""

MOVING_SHARE = 1 / 16
"""Share of the VMs of which as many tasks may be moving at a time, at least one."""

MOVE_S = 2.0
"""Time for which a task counts as moving after its stop was decided."""


@attrs.frozen
class Move:
    """A task to stop and start elsewhere.

    Parameters
    ----------
    attempt, vm_id
        Attempt to stop, and VM that has capacity for the task now.
    remaining_s, elsewhere_s
        Expected time until the task ends where it runs, and if it is moved, in seconds.
    """

    attempt: Attempt
    vm_id: str
    remaining_s: float
    elsewhere_s: float


class StragglerMover:
    """Stops tasks that run at a third of the usual pace or less, to start them on usual VMs.

    Answers a load in which callers wait for the last task of a job, which happens to run on a VM
    that has turned slow while other VMs have capacity to spare. Tasks without any progress are
    those of `stop_stuck_tasks`, which needs no other VM to compare with and blames the VM. Here the
    VM is known to be slow, and counts as sound.

    A task is moved once at most, and only if a usual VM has free capacity for it that no waiting
    task can use now. The VM is not reserved: a reservation holds back all other work from it, which
    made more gangs late in the load on the planner than moves made other jobs in time. Gangs stay:
    whether all members of a gang would gain is not known, as their paces are not.

    A move loses what the task has run, and VMs often recover soon, so that tasks are moved only
    where the operator asks for it.

    Parameters
    ----------
    state
        Planner state to decide from and to update.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state
        self._moved_s: list[float] = []

    def move(self, now_s: float) -> None:
        """Stop the tasks to move; they are started elsewhere once they have ended."""
        if not self.state.overload.moves_stragglers:
            return
        self._moved_s = [at_s for at_s in self._moved_s if now_s - at_s < MOVE_S]
        allowed = max(1, int(MOVING_SHARE * len(self.state.vms))) - len(self._moved_s)
        if allowed <= 0 or not self.state.paces.slow_vms or not self.state.takeover_complete:
            return
        moves = sorted(self._find_moves(now_s), key=_gain_s, reverse=True)
        used: set[str] = set()
        for move in moves:
            # Each VM takes one task at a time, as the capacity of a second one was not looked at.
            if allowed and move.vm_id not in used:
                allowed -= 1
                used.add(move.vm_id)
                self._carry_out(move, now_s)

    def _carry_out(self, move: Move, now_s: float) -> None:
        attempt, paces = move.attempt, self.state.paces
        group = self.state.group_of(attempt.task)
        group.moved.add(attempt.task.index)
        self._moved_s.append(now_s)
        self.state.stop(
            attempt,
            "VM is slow",
            loss_cause=LossCause.VM_SLOW,
            pace=round(paces.relative_pace(attempt.vm_id, now_s), 2),
            percent=attempt.percent,
            remaining_s=round(move.remaining_s, 3),
            elsewhere_s=round(move.elsewhere_s, 3),
            free_vm=move.vm_id,
        )

    def _find_moves(self, now_s: float) -> Iterator[Move]:
        for vm_id in sorted(self.state.paces.slow_vms):
            vm = self.state.vms.get(vm_id)
            if vm is None or vm.pace_class < PaceClass.VERY_SLOW:
                continue
            usual_vms = self._usual_vms(vm)
            for attempt in vm.attempts.values():
                move = self._find_move(vm, attempt, usual_vms, now_s) if usual_vms else None
                if move is not None:
                    yield move

    def _usual_vms(self, vm: Vm) -> list[Vm]:
        return [
            each
            for each in self.state.vms.values()
            if each.description.service == vm.description.service
            and each.pace_class is PaceClass.USUAL
        ]

    def _find_move(
        self, vm: Vm, attempt: Attempt, usual_vms: list[Vm], now_s: float
    ) -> Move | None:
        group = self.state.group_of(attempt.task)
        if group is None or not self._may_move(attempt, group):
            return None
        key = comparable_step(self.state, vm, attempt)
        rate = None if key is None else usual_rate(self.state, key, vm.vm_id)
        if rate is None:
            return None
        remaining_s = self._remaining_s(vm, attempt, rate, now_s)
        to_do = DONE_PERCENT - (attempt.percent if group.step.checkpointable else 0)
        elsewhere_s = self.state.timing.stop_s + RESTART_DELAY_S + to_do / rate
        gains = remaining_s - elsewhere_s >= MIN_GAIN_S
        if not gains or remaining_s < MIN_GAIN_FACTOR * elsewhere_s:
            return None
        free_vm = self._find_free_vm(group, attempt, usual_vms, now_s)
        return None if free_vm is None else Move(attempt, free_vm, remaining_s, elsewhere_s)

    def _may_move(self, attempt: Attempt, group: TaskGroup) -> bool:
        """Return whether a task may be stopped now and has certainly not been moved before."""
        active_job = self.state.job_of(attempt.task)
        adopted = attempt.number < self.state.first_attempt_number
        # An earlier owner may have moved the task, unless this is the first attempt of its term.
        maybe_moved = adopted and attempt.number % ATTEMPT_NUMBERS_PER_EPOCH != 1
        return (
            attempt.phase is AttemptPhase.RUNNING
            and attempt.first_listed_s is not None
            and not active_job.finished
            and not group.step.gang
            and attempt.task.index not in group.moved
            and not maybe_moved
            and len(group.attempts[attempt.task.index]) == 1
            and group.may_disrupt()
        )

    def _remaining_s(self, vm: Vm, attempt: Attempt, rate: float, now_s: float) -> float:
        """Return when an attempt ends on a slow VM that becomes usual after some time, in seconds.

        Parameters
        ----------
        rate
            Rate of the step on usual VMs, in percent per second.
        """
        pace = min(1.0, self.state.paces.relative_pace(vm.vm_id, now_s))
        slow_s = max(LEAST_SPELL_S, now_s - self.state.paces.class_since_s(vm.vm_id))
        usual_s = (DONE_PERCENT - attempt.percent) / rate
        if usual_s <= pace * slow_s:
            return usual_s / pace
        return slow_s + usual_s - pace * slow_s

    def _find_free_vm(
        self, group: TaskGroup, attempt: Attempt, usual_vms: list[Vm], now_s: float
    ) -> str | None:
        """Return a usual VM on which a task could start now, on the rack of its data."""
        group_id, data_rack = group.group_id, group.step.data_rack
        queue = self.state.active_jobs[group_id.job_id].queue
        vms = [
            vm
            for vm in usual_vms
            if vm.is_healthy(now_s)
            and queue.allows_region(vm.description.region)
            and not vm.is_closed_to(group_id, now_s)
            and not vm.is_reserved_for_other(group_id, now_s)
            and data_rack in ("", vm.description.rack)
        ]
        index = attempt.task.index
        if group.is_suspect(index):
            return None
        placement = place_on_free_capacity(vms, group, [index], now_s)
        return None if placement is None else placement.vms[index]


def _gain_s(move: Move) -> float:
    return move.remaining_s - move.elsewhere_s

"""VMs that work much more slowly than the others, told from the progress of their tasks."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import Phase
from briardeal_workflow.planning._placement import place_by_preemption

if TYPE_CHECKING:
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import State
    from briardeal_workflow.planning._vms import Vm
    from briardeal_workflow.planning._work import Group

OBSERVED_S = 1.9
"""Least time over which the pace of a task is measured; VMs tell percentages each second."""

SLOW_FACTOR = 2.5
"""Multiple of the time of like tasks on other VMs from which a VM counts as slow: tasks of one step
differ by up to 30 %, and so do sound VMs."""

SLOW_S = 6.0
"""Time for which a slow VM is the last choice after it was last seen to be slow."""

GAIN_FACTOR = 1.5
"""Multiple of the time elsewhere that a task must still need where it is before it is moved."""

MOVE_S = 1.0
"""Time that a move costs: the stop, the way of two orders, and the restoring of a checkpoint."""

WHOLE_PERCENT = 100.0


@attrs.frozen
class Pace:
    """The pace of one task.

    Parameters
    ----------
    whole_s
        Its run time at this pace, from its beginning.
    left_s
        What it still needs of that.
    """

    whole_s: float
    left_s: float


def measure_pace(attempt: Attempt) -> Pace | None:
    """Return the pace of a start; `None` where it was not seen for long enough."""
    if attempt.phase is not Phase.RUNNING or attempt.first_listed_s is None:
        return None
    observed_s = attempt.advanced_s - attempt.first_listed_s
    gained = attempt.percent - attempt.first_percent
    if observed_s < OBSERVED_S or gained <= 0:
        return None
    per_percent_s = observed_s / gained
    return Pace(per_percent_s * WHOLE_PERCENT, per_percent_s * (WHOLE_PERCENT - attempt.percent))


class SlowVms:
    """Finds slow VMs and takes work off them where it gains by that.

    Declared run times tell little, so that a task is compared only with others of its group.

    Parameters
    ----------
    state
        What the decisions are taken from, and where they are noted.
    """

    def __init__(self, state: State) -> None:
        self.state = state

    def review(self, now_s: float) -> None:
        """Note which VMs are slow, and move what would be done sooner elsewhere."""
        for vm in list(self.state.vms.values()):
            factors = [
                factor
                for attempt in vm.attempts.values()
                if (factor := self._factor_of(attempt)) is not None
            ]
            if factors and (factor := statistics.median_low(factors)) > SLOW_FACTOR:
                self._note_slow(vm, factor, now_s)
                self._move_from(vm, factor, now_s)

    def _factor_of(self, attempt: Attempt) -> float | None:
        """Return the run time of a task as a multiple of that of its like on other VMs."""
        group = self.state.group_of(attempt.task)
        pace = measure_pace(attempt)
        if group is None or pace is None or group.step.lasting or group.step.fills:
            return None
        others = [
            other.whole_s
            for each in group.running()
            if each.vm_id != attempt.vm_id
            and self._near_data(group, each) == self._near_data(group, attempt)
            and (other := measure_pace(each)) is not None
        ]
        return pace.whole_s / statistics.median(others) if others else None

    def _near_data(self, group: Group, attempt: Attempt) -> bool:
        vm = self.state.vms.get(attempt.vm_id)
        return vm is not None and vm.shape.rack == group.step.data_rack

    def _note_slow(self, vm: Vm, factor: float, now_s: float) -> None:
        if vm.distrusted_until_s <= now_s:
            log_event(Event.VM_SLOW, vm=vm.vm_id, factor=round(factor, 1))
        vm.distrusted_until_s = max(vm.distrusted_until_s, now_s + SLOW_S)

    def _move_from(self, vm: Vm, factor: float, now_s: float) -> None:
        for attempt in list(vm.attempts.values()):
            group = self.state.group_of(attempt.task)
            pace = measure_pace(attempt)
            if group is None or pace is None or group.step.lasting:
                continue
            whole_s = pace.left_s if group.step.checkpoints else pace.whole_s
            elsewhere_s = whole_s / factor + MOVE_S
            if pace.left_s > GAIN_FACTOR * elsewhere_s and self._has_room(attempt, group, now_s):
                for each in self.state.companions(attempt):
                    self.state.stop(each, "VM is slow")

    def _has_room(self, attempt: Attempt, group: Group, now_s: float) -> bool:
        """Return whether a task, or its whole gang, fits on VMs that are not slow."""
        companions = self.state.companions(attempt)
        ending = {id(each) for each in companions}
        vms = [
            vm
            for vm in self.state.vms.values()
            if vm.shape.service == self.state.vms[attempt.vm_id].shape.service
            and vm.distrusted_until_s <= now_s
        ]
        indices = [each.task.index for each in companions]
        placement = place_by_preemption(
            vms, group, indices, now_s, lambda each: companions if id(each) in ending else None
        )
        return placement is not None

"""Observation of the paces of VMs in task lists and ends of attempts."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._attempts import DONE_PERCENT, AttemptPhase
from briardeal_workflow.planning._paces import MIN_OBSERVATIONS, StepKey
from briardeal_workflow.planning._vms import LIST_GAP_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._state import PlannerState
    from briardeal_workflow.planning._vms import Vm

MIN_GAIN_PERCENT = 5
"""Percentage that an attempt has gained, or would usually have gained, before it is compared; the
reported percentages are whole numbers."""

MIN_COMPARED_S = 0.8
"""Least time between two task lists that are compared; the agent reports each second, and once more
for each change."""

USUAL_PERCENT = 100
"""Relative pace of a usual VM in messages."""

SHORT_RUN_S = 3.0
"""Usual run time up to which ends of attempts are compared. Task lists say more of longer attempts,
and the end of one that was slow for long does not say that its VM still is."""


class PaceObserver:
    """Compares attempts with those of the same step on other VMs, and classifies VMs.

    Only attempts whose pace depends on nothing but their VM are compared. That leaves out gangs,
    whose members may progress in step with the slowest of them and run more slowly on several
    racks; tasks away from the rack of their data; tasks on spare processor time; and tasks that run
    until cancelled, whose percentage is that of their startup.

    Parameters
    ----------
    state
        Planner state with the attempts and paces.
    """

    def __init__(self, state: PlannerState) -> None:
        self.state = state

    def record_list(
        self, vm: Vm, listed: Collection[tuple[TaskId, int]], listed_s: float, now_s: float
    ) -> None:
        """Record the progress of the attempts that a VM has listed at a given time."""
        ratios = []
        usual_rates: dict[StepKey, float | None] = {}
        for number, attempt in vm.attempts.items():
            if number not in listed or attempt.phase is not AttemptPhase.RUNNING:
                continue
            if attempt.first_listed_s is None:
                # It was adopted, and its start is not resolved yet.
                continue
            key = comparable_step(self.state, vm, attempt)
            if key is None:
                continue
            if key not in usual_rates:
                usual_rates[key] = usual_rate(self.state, key, vm.vm_id)
            ratio = self._compare(attempt, key, usual_rates[key], listed_s)
            if ratio is not None:
                ratios.append(ratio)
        if ratios:
            self._record(vm, statistics.median(ratios), listed_s, now_s)

    def record_end(self, vm: Vm, attempt: Attempt, now_s: float) -> None:
        """Record that an attempt has completed its task."""
        key = comparable_step(self.state, vm, attempt)
        if key is None or attempt.resumed or attempt.number < self.state.first_attempt_number:
            # It began with a part of its work done, or its start order is not known exactly.
            return
        if now_s - vm.listed_s > LIST_GAP_S:
            # It may have ended at any time in the gap of the reports.
            return
        key = key._replace(whole_runs=True)
        rate = DONE_PERCENT / max(0.001, now_s - attempt.ordered_s)
        self.state.paces.forget_idle_rates(key, now_s)
        usual = self.state.paces.usual_rate(key, vm.vm_id)
        self.state.paces.record_rate(key, vm.vm_id, rate, now_s)
        if usual is not None and usual * SHORT_RUN_S >= DONE_PERCENT:
            self._record(vm, rate / usual, now_s, now_s)

    def inherit(self, vm_id: str, percent: int, now_s: float) -> None:
        """Take over the pace of a VM that an earlier owner has estimated, in percent."""
        incarnation = self.state.vms[vm_id].description.incarnation
        self.state.paces.inherit(vm_id, incarnation, percent / USUAL_PERCENT, now_s)
        self._update_class(vm_id, now_s)

    def percent_to_hand_on(self, vm_id: str, now_s: float) -> int:
        """Return the pace of a VM in percent, for the next owner; 0 if it is unknown."""
        paces = self.state.paces
        if paces.observation_count(vm_id) < MIN_OBSERVATIONS:
            return 0
        return round(USUAL_PERCENT * paces.relative_pace(vm_id, now_s))

    def update_slow_vms(self, now_s: float) -> None:
        """Update the classes of VMs that were slow; without observations they become usual."""
        for vm_id in list(self.state.paces.slow_vms):
            self._update_class(vm_id, now_s)

    def _compare(
        self, attempt: Attempt, key: StepKey, usual: float | None, listed_s: float
    ) -> float | None:
        """Return the pace of an attempt since the last comparison in relation to the usual one.

        Returns `None` if it is too early to say.
        """
        since_s, since_percent = attempt.compared_s, attempt.compared_percent
        # `first_percent` is higher once a checkpoint has been restored, and that jump is no pace.
        if since_s is None or since_percent < attempt.first_percent:
            attempt.compared_s, attempt.compared_percent = listed_s, attempt.percent
            return None
        took_s = listed_s - since_s
        gained = attempt.percent - since_percent
        expected = 0.0 if usual is None else usual * took_s
        if took_s < MIN_COMPARED_S or max(gained, expected) < MIN_GAIN_PERCENT:
            return None
        attempt.compared_s, attempt.compared_percent = listed_s, attempt.percent
        if attempt.percent >= DONE_PERCENT - 1:
            # It may have been at its end for some time.
            return None
        self.state.paces.record_rate(key, attempt.vm_id, gained / took_s, listed_s)
        return gained / expected if usual is not None else None

    def _record(self, vm: Vm, ratio: float, observed_s: float, now_s: float) -> None:
        incarnation = vm.description.incarnation
        self.state.paces.record_observation(vm.vm_id, incarnation, ratio, observed_s)
        self._update_class(vm.vm_id, now_s)

    def _update_class(self, vm_id: str, now_s: float) -> None:
        paces = self.state.paces
        changed = paces.update_class(vm_id, now_s)
        pace_class = paces.pace_class(vm_id)
        if vm_id in self.state.vms:
            self.state.vms[vm_id].pace_class = pace_class
        if changed:
            log_event(
                Event.VM_PACE_CHANGED,
                vm=vm_id,
                pace_class=pace_class.name.lower(),
                pace=round(paces.relative_pace(vm_id, now_s), 2),
                observations=paces.observation_count(vm_id),
            )


def comparable_step(state: PlannerState, vm: Vm, attempt: Attempt) -> StepKey | None:
    """Return the attempts with which an attempt may be compared; `None` if with none."""
    group = state.group_of(attempt.task)
    if group is None:
        return None
    step = group.step
    if step.gang or step.long_running or step.uses_spare_cpu:
        return None
    if step.data_rack and step.data_rack != vm.description.rack:
        return None
    return StepKey(attempt.task.job_id, attempt.task.step)


def usual_rate(state: PlannerState, key: StepKey, vm_id: str) -> float | None:
    """Return the usual rate of a step on VMs other than the given one, in percent per second.

    The tasks of a short step may end on the other VMs before they have been listed twice. If they
    have been listed and their rates differ, their ends say nothing either: the first ones are those
    of the shortest tasks.
    """
    if state.paces.has_other_rates(key, vm_id):
        return state.paces.usual_rate(key, vm_id)
    return state.paces.usual_rate(key._replace(whole_runs=True), vm_id)

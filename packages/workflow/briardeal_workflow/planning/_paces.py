"""Relative pace of VMs, estimated from attempts of the same step on different VMs."""

from __future__ import annotations

import enum
import math
import statistics
from collections import deque
from typing import NamedTuple

import attrs

HALF_LIFE_S = 15.0
"""Time in which the weight of an observation halves; slow spells of VMs last 5 to 10 s."""

MIN_RATIO, MAX_RATIO = 0.1, 2.0
"""Limits of a single observation; a stalled task must not outweigh all others."""

OBSERVATION_LIMIT = 16
"""Observations kept for each VM; VMs with tasks are observed about once a second."""

MIN_OBSERVATIONS = 2
"""Observations of a VM without which its pace counts as unknown."""

PAUSE_S = 5.0
"""Time without observations after which the newest is kept, so that the next one does not decide
alone, and all earlier ones count as a single one of the pace that has been estimated meanwhile.
Otherwise the next one would make them count in full again."""

CHANGE_COUNT = 3
"""Consecutive observations that replace all earlier ones if each of them clearly differs."""

CHANGE_FACTOR = 0.6
"""Ratio of an observation to the estimate, or the inverse, from which it clearly differs. Usual VMs
run at 0.8 to 1.25 of the usual pace, which is a ratio of 0.64."""

MIN_OTHERS = 2
"""Other VMs with the same step without which attempts are not compared: of two VMs, it would be
unknown which one is unusual."""

AGREEING_SHARE = 2 / 3
"""Share of the other VMs whose rates must be close to their median. The tasks of a step whose rates
spread more widely differ by themselves, and say nothing of VMs."""

AGREEING_FACTOR = 1.4
"""Ratio up to which a rate is close to the median."""

STEP_LIMIT = 128
"""Steps whose rates are kept, about ten times as many as run at a time on 72 VMs."""

STEP_VM_LIMIT = 16
"""VMs whose rates are kept for each step."""

STEP_IDLE_S = 30.0
"""Time without new rates after which those of a step may be forgotten."""

VM_LIMIT = 1024
"""VMs whose paces are kept."""

VM_IDLE_S = 8 * HALF_LIFE_S
"""Time without observations after which the pace of a VM may be forgotten; 0.1 has become 0.99."""

ESTIMATE_WEIGHT = 0.5
"""Weight of a new rate of a VM in its rate for a step; percentages are rounded."""


class PaceClass(enum.IntEnum):
    """Pace of a VM, coarse enough that the noise of single tasks does not change it."""

    USUAL = 0
    SLOW = 1
    VERY_SLOW = 2


ENTER_AT_MOST = {PaceClass.SLOW: 0.55, PaceClass.VERY_SLOW: 1 / 3}
"""Pace at which a VM enters a class. Usual VMs are at 0.64 or more in the worst comparison."""

LEAVE_FROM = {PaceClass.SLOW: 0.7, PaceClass.VERY_SLOW: 0.45}
"""Pace at which a VM leaves a class, higher than that of entering so that classes don't flap."""


class StepKey(NamedTuple):
    """Attempts that are compared: those of a step, by their progress or by their whole run time.

    The occurrences of a scheduled job are the same step.
    """

    job_id: str
    step: int
    whole_runs: bool = False


@attrs.define(eq=False)
class _StepRates:
    """Newest rates of a step in percent per second, by VM."""

    used_s: float
    by_vm: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _VmRecord:
    """Observations of a VM, as their time and relative pace, and what follows from them.

    Attributes
    ----------
    incarnation
        Incarnation of the worker that was observed last.
    pace, observed_s
        Weighted median of the observations, and the time of the newest.
    pace_class, class_since_s
        Class of the VM, and since when it has it.
    """

    incarnation: str
    observations: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=OBSERVATION_LIMIT)
    )
    pace: float = 1.0
    observed_s: float = -math.inf
    pace_class: PaceClass = PaceClass.USUAL
    class_since_s: float = -math.inf


class VmPaces:
    """Estimates the relative pace of each VM: 1.0 is usual, 0.2 is five times as slow.

    Answers a load in which some VMs run the same tasks several times as slowly as others for some
    seconds, while callers wait for jobs whose tasks are spread over both.

    Attempts are compared only with those of the same step on other VMs, as declared run times are
    off by several times. The estimate is the median of the observations, weighted by age. Without
    new observations it returns to 1.0 within a minute.

    Attributes
    ----------
    slow_vms
        VMs whose class is not `PaceClass.USUAL`.
    """

    def __init__(self) -> None:
        self.slow_vms: set[str] = set()
        self._records: dict[str, _VmRecord] = {}
        self._steps: dict[StepKey, _StepRates] = {}

    def relative_pace(self, vm_id: str, now_s: float) -> float:
        """Return the pace of a VM in relation to the usual one; 1.0 if it is unknown."""
        record = self._records.get(vm_id)
        if record is None or len(record.observations) < MIN_OBSERVATIONS:
            return 1.0
        age_s = max(0.0, now_s - record.observed_s)
        return record.pace ** (0.5 ** (age_s / HALF_LIFE_S))

    def observation_count(self, vm_id: str) -> int:
        """Return the number of observations from which the pace of a VM follows."""
        record = self._records.get(vm_id)
        return 0 if record is None else len(record.observations)

    def pace_class(self, vm_id: str) -> PaceClass:
        """Return the class of a VM as of its last update."""
        record = self._records.get(vm_id)
        return PaceClass.USUAL if record is None else record.pace_class

    def class_since_s(self, vm_id: str) -> float:
        """Return since when a VM has its class; minus infinity if it never had another one."""
        record = self._records.get(vm_id)
        return -math.inf if record is None else record.class_since_s

    def usual_rate(self, key: StepKey, vm_id: str) -> float | None:
        """Return the usual rate of a step on VMs other than the given one, in percent per second.

        Rates on VMs known to be slow are left out. Returns `None` if there are too few others, or
        if they differ too much to be compared.
        """
        others = self._other_rates(key, vm_id)
        if len(others) < MIN_OTHERS:
            return None
        usual = statistics.median(others)
        if usual <= 0:
            return None
        lowest, highest = usual / AGREEING_FACTOR, usual * AGREEING_FACTOR
        close = sum(lowest <= rate <= highest for rate in others)
        return usual if close >= AGREEING_SHARE * len(others) else None

    def has_other_rates(self, key: StepKey, vm_id: str) -> bool:
        """Return whether the rates of a step on enough other VMs are known to compare them."""
        return len(self._other_rates(key, vm_id)) >= MIN_OTHERS

    def record_rate(self, key: StepKey, vm_id: str, rate: float, now_s: float) -> None:
        """Record the rate of an attempt, in percent per second."""
        step = self._steps.pop(key, None)
        if step is None:
            step = _StepRates(now_s)
            if len(self._steps) >= STEP_LIMIT and not self._drop_idle_step(now_s):
                return
        # The dictionary is ordered by use, so that the first step is the one idle for longest.
        self._steps[key] = step
        step.used_s = now_s
        known = step.by_vm.pop(vm_id, rate)
        step.by_vm[vm_id] = known + ESTIMATE_WEIGHT * (rate - known)
        if len(step.by_vm) > STEP_VM_LIMIT:
            del step.by_vm[next(iter(step.by_vm))]

    def forget_idle_rates(self, key: StepKey, now_s: float) -> None:
        """Forget the rates of a step without new ones for long.

        Run times may differ between occurrences of a scheduled job.
        """
        step = self._steps.get(key)
        if step is not None and now_s - step.used_s > STEP_IDLE_S:
            del self._steps[key]

    def record_observation(
        self, vm_id: str, incarnation: str, ratio: float, observed_s: float
    ) -> None:
        """Record the rate of attempts on a VM in relation to the usual rate of their steps."""
        record = self._records.get(vm_id)
        if record is None:
            if len(self._records) >= VM_LIMIT and not self._drop_idle_vms(observed_s):
                return
            record = self._records[vm_id] = _VmRecord(incarnation)
        self._follow_incarnation(record, incarnation)
        if record.observations and observed_s - record.observed_s > PAUSE_S:
            newest = record.observations[-1]
            estimate = (observed_s, self.relative_pace(vm_id, observed_s))
            record.observations.clear()
            record.observations.extend((newest, estimate))
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        record.observations.append((observed_s, ratio))
        record.observed_s = max(record.observed_s, observed_s)
        _drop_outdated(record)
        record.pace = _weighted_median(record)

    def inherit(self, vm_id: str, incarnation: str, pace: float, now_s: float) -> None:
        """Take over the estimate of an earlier owner, unless the VM has been observed already."""
        if vm_id not in self._records:
            for _ in range(MIN_OBSERVATIONS):
                self.record_observation(vm_id, incarnation, pace, now_s)

    def follow_incarnation(self, vm_id: str, incarnation: str) -> None:
        """Lower the weight of the estimate of a VM if its worker has restarted since."""
        record = self._records.get(vm_id)
        if record is not None:
            self._follow_incarnation(record, incarnation)

    def update_class(self, vm_id: str, now_s: float) -> bool:
        """Update the class of a VM, and return whether it has changed."""
        record = self._records.get(vm_id)
        if record is None:
            return False
        pace_class = _next_class(record.pace_class, self.relative_pace(vm_id, now_s))
        if pace_class is record.pace_class:
            return False
        record.pace_class, record.class_since_s = pace_class, now_s
        if pace_class is PaceClass.USUAL:
            self.slow_vms.discard(vm_id)
        else:
            self.slow_vms.add(vm_id)
        return True

    def _other_rates(self, key: StepKey, vm_id: str) -> list[float]:
        """Return the rates of a step on VMs other than the given one that are not slow."""
        step = self._steps.get(key)
        rates = {} if step is None else step.by_vm
        return [
            rate for other, rate in rates.items() if other != vm_id and other not in self.slow_vms
        ]

    def _follow_incarnation(self, record: _VmRecord, incarnation: str) -> None:
        """Age the estimate by a half-life if the worker has restarted.

        The new worker may run on another machine, but a VM is often slow again after a restart.
        """
        if record.incarnation == incarnation:
            return
        record.incarnation = incarnation
        record.observed_s -= HALF_LIFE_S

    def _drop_idle_step(self, now_s: float) -> bool:
        """Forget the step without new rates for longest; return whether there was one."""
        key, step = next(iter(self._steps.items()))
        if now_s - step.used_s < STEP_IDLE_S:
            return False
        del self._steps[key]
        return True

    def _drop_idle_vms(self, now_s: float) -> bool:
        """Forget the VMs without new observations; return whether there were any."""
        idle = [
            vm_id
            for vm_id, record in self._records.items()
            if now_s - record.observed_s > VM_IDLE_S and vm_id not in self.slow_vms
        ]
        for vm_id in idle:
            del self._records[vm_id]
        return bool(idle)


def _drop_outdated(record: _VmRecord) -> None:
    """Drop the observations before a change of pace.

    By weight alone, a VM that was usual for long would be found slow only after a half-life, when
    its slow spell is over.
    """
    count = len(record.observations)
    if count <= CHANGE_COUNT:
        return
    newest = [record.observations[position] for position in range(count - CHANGE_COUNT, count)]
    slower = all(ratio < CHANGE_FACTOR * record.pace for _, ratio in newest)
    faster = all(ratio * CHANGE_FACTOR > record.pace for _, ratio in newest)
    if slower or faster:
        record.observations.clear()
        record.observations.extend(newest)


def _weighted_median(record: _VmRecord) -> float:
    """Return the median of the observations, whose weights halve with each half-life of age.

    Of two that differ, either may come from an unusual task, so that the more usual one counts.
    """
    if len(record.observations) == MIN_OBSERVATIONS:
        return min((ratio for _, ratio in record.observations), key=_distance)
    weighted = sorted(
        (ratio, 0.5 ** ((record.observed_s - at_s) / HALF_LIFE_S))
        for at_s, ratio in record.observations
    )
    half = sum(weight for _, weight in weighted) / 2
    for ratio, weight in weighted:
        half -= weight
        if half <= 0:
            return ratio
    return weighted[-1][0]


def _distance(pace: float) -> float:
    """Return how far a pace is from the usual one, in either direction."""
    return abs(math.log(pace))


def _next_class(current: PaceClass, pace: float) -> PaceClass:
    """Return the class of a VM of a pace that had a class before."""
    for pace_class in (PaceClass.VERY_SLOW, PaceClass.SLOW):
        limits = LEAVE_FROM if current >= pace_class else ENTER_AT_MOST
        if pace <= limits[pace_class]:
            return pace_class
    return PaceClass.USUAL

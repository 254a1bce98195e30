"""Measured run times of tasks in relation to the declared ones, and the work completed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.planning._attempts import AttemptOutcome

if TYPE_CHECKING:
    from briardeal_workflow.planning._active_jobs import ActiveJob
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._task_groups import TaskGroup

RATIO_HALF_LIFE_S = 120.0
"""Time after which a measured run time counts half; declarations are off by customer, and the mix
of customers changes within minutes."""

WORK_HALF_LIFE_S = 20.0
"""Time after which completed work counts half: longer than the longest usual task, so that tasks
which end together do not look like a high pace."""


@attrs.define
class RunTimes:
    """Run times of the tasks of one class; older ones count less.

    Attributes
    ----------
    weight, mean, square
        Number of jobs measured, and mean of the logarithm of measured to declared run times and of
        its square.
    done_core_s
        Work of completed tasks that still counts, in core-seconds.
    updated_s, began_s
        Time up to which older values have lost their weight, and of the first value, on the event
        loop's clock.
    """

    weight: float = 0.0
    mean: float = 0.0
    square: float = 0.0
    done_core_s: float = 0.0
    updated_s: float = 0.0
    began_s: float | None = None

    @property
    def ratio(self) -> float:
        """Median of measured to declared run times; 1 if unknown."""
        return math.exp(self.mean)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm of that ratio."""
        return math.sqrt(max(0.0, self.square - self.mean**2))

    def done_cores(self, now_s: float) -> float:
        """Return the work completed per second, in cores."""
        self._age(now_s)
        if self.began_s is None or now_s <= self.began_s:
            return 0.0
        counted = 1.0 - 0.5 ** ((now_s - self.began_s) / WORK_HALF_LIFE_S)
        return self.done_core_s * math.log(2.0) / WORK_HALF_LIFE_S / counted

    def add(self, ratio: float, weight: float, core_s: float, now_s: float) -> None:
        """Add a completed task.

        Parameters
        ----------
        ratio
            Its run time as a multiple of the declared one.
        weight
            Its share of the tasks of its job, as their run times are off by the same factor.
        core_s
            Its work, in core-seconds.
        """
        self._age(now_s)
        if self.began_s is None:
            self.began_s = now_s
        self.done_core_s += core_s
        self.weight += weight
        logarithm = math.log(ratio)
        self.mean += (logarithm - self.mean) * weight / self.weight
        self.square += (logarithm**2 - self.square) * weight / self.weight

    def _age(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        self.weight *= 0.5 ** (passed_s / RATIO_HALF_LIFE_S)
        self.done_core_s *= 0.5 ** (passed_s / WORK_HALF_LIFE_S)


@attrs.define
class RunTimeRecord:
    """Run times by service and priority.

    Attributes
    ----------
    by_class
        Run times by service and priority.
    """

    by_class: dict[tuple[str, int], RunTimes] = attrs.field(factory=dict)

    def find(self, service: str, priority: int) -> RunTimes:
        """Return the run times of a class; empty ones if nothing has been measured."""
        return self.by_class.get((service, priority)) or RunTimes()

    def record(
        self,
        active_job: ActiveJob,
        group: TaskGroup,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Record an ended attempt, if it was completed from the beginning to the end."""
        step = group.step
        ran_s = now_s - attempt.ordered_s
        resumed = attempt.task.index in group.unfinished or attempt.earlier_lost_core_s > 0
        if outcome is not AttemptOutcome.DONE or resumed or ran_s <= 0 or step.estimate_s <= 0:
            return
        if step.long_running:
            return
        key = (active_job.job.service, active_job.queue.priority)
        run_times = self.by_class.setdefault(key, RunTimes())
        core_s = ran_s * attempt.resources.core_equivalents
        tasks = step.tasks * len(active_job.job.steps) * active_job.job.occurrence_count
        run_times.add(ran_s / step.estimate_s, 1 / tasks, core_s, now_s)

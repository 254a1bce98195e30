"""Predictions of run times by customer and class."""

from __future__ import annotations

import math

import attrs

DECAY = 0.98
"""Weight that an observation keeps when the next one comes."""

PRIOR_LOG_DEVIATION = math.log(4.0)
"""Spread of run times about their prediction before anything was seen, in log units."""

PRIOR_WEIGHT = 3.0
"""Observations that the knowledge of the wider group counts for."""

P90_DEVIATIONS = 1.28
"""Standard deviations to the ninetieth percentile."""

MIN_CHECKPOINT_WEIGHT = 1.9
"""Observations of checkpoints, by weight, from which on they are relied upon."""

OVERDUE_FACTOR = 1.5
"""How much longer than so far a job is expected to run in all, once it is overdue."""


@attrs.frozen
class Prediction:
    """An expected run time.

    Parameters
    ----------
    median_s
        Half of such jobs run no longer, in seconds.
    high_s
        Nine in ten run no longer, in seconds.
    """

    median_s: float
    p90_s: float

    def remaining_s(self, elapsed_s: float) -> float:
        """Return how long a job goes on that has run for the given time."""
        return max(self.median_s, OVERDUE_FACTOR * elapsed_s) - elapsed_s

    def remaining_p90_s(self, elapsed_s: float) -> float:
        """Return how long nine in ten such jobs go on at most."""
        return max(self.p90_s, OVERDUE_FACTOR**2 * elapsed_s) - elapsed_s


@attrs.define
class _DecayingStatistics:
    """Running mean and variance that forget slowly."""

    weight: float = 0.0
    mean: float = 0.0
    squared_deviations: float = 0.0

    def add(self, value: float) -> None:
        self.weight = self.weight * DECAY + 1
        deviation = value - self.mean
        self.mean += deviation / self.weight
        self.squared_deviations = self.squared_deviations * DECAY + deviation * (value - self.mean)

    def shrink_towards(self, mean: float, variance: float) -> tuple[float, float]:
        """Return mean and variance, drawn towards those of a wider group."""
        total = self.weight + PRIOR_WEIGHT
        shrunk_mean = (self.weight * self.mean + PRIOR_WEIGHT * mean) / total
        between = self.weight * PRIOR_WEIGHT / total * (self.mean - mean) ** 2
        return shrunk_mean, (self.squared_deviations + PRIOR_WEIGHT * variance + between) / total


@attrs.define
class _RunTimeStatistics:
    """Run times of one group of jobs, on their own and against the declared ones."""

    log_ratio: _DecayingStatistics = attrs.field(factory=_DecayingStatistics)
    log_run_s: _DecayingStatistics = attrs.field(factory=_DecayingStatistics)

    def add(self, declared_s: float, run_s: float) -> None:
        self.log_ratio.add(math.log(run_s / declared_s))
        self.log_run_s.add(math.log(run_s))


@attrs.define
class RunTimeHistory:
    """Run times seen so far.

    Attributes
    ----------
    version
        Number that changes with every observation.
    """

    by_customer: dict[tuple[str, str], _RunTimeStatistics] = attrs.field(factory=dict)
    by_class: dict[str, _RunTimeStatistics] = attrs.field(factory=dict)
    overdue: dict[tuple[str, str], dict[str, float]] = attrs.field(factory=dict)
    checkpoints: dict[tuple[str, str], _DecayingStatistics] = attrs.field(factory=dict)
    version: int = 0

    def predict(self, customer: str, job_class: str, declared_s: float) -> Prediction:
        """Return the expected run time of a job.

        The declared time, corrected by how far such declarations were off, and the usual run time
        of such jobs are weighed by how well each has predicted so far.
        """
        declared = math.log(max(1.0, declared_s))
        class_runs = self.by_class.get(job_class, _RunTimeStatistics())
        customer_runs = self.by_customer.get((customer, job_class), _RunTimeStatistics())
        ratio_mean, ratio_variance = customer_runs.log_ratio.shrink_towards(
            *class_runs.log_ratio.shrink_towards(0.0, PRIOR_LOG_DEVIATION**2)
        )
        run_mean, run_variance = customer_runs.log_run_s.shrink_towards(
            *class_runs.log_run_s.shrink_towards(declared, 4 * PRIOR_LOG_DEVIATION**2)
        )
        declared_weight = run_variance / (run_variance + ratio_variance)
        mean = declared_weight * (declared + ratio_mean) + (1 - declared_weight) * run_mean
        log_deviation = math.sqrt(min(ratio_variance, run_variance))
        median_s = math.exp(mean)
        floor_s = self._overdue_floor(customer, job_class)
        median_s = max(median_s, floor_s)
        return Prediction(median_s, median_s * math.exp(P90_DEVIATIONS * log_deviation))

    def record_run(self, customer: str, job_class: str, declared_s: float, run_s: float) -> None:
        """Learn from a job that has finished."""
        for group, key in ((self.by_customer, (customer, job_class)), (self.by_class, job_class)):
            group.setdefault(key, _RunTimeStatistics()).add(max(1.0, declared_s), max(1.0, run_s))
        self.version += 1

    def record_overdue(self, customer: str, job_class: str, job_id: str, run_s: float) -> None:
        """Learn from a job that runs longer than predicted and hasn't ended."""
        self.overdue.setdefault((customer, job_class), {})[job_id] = run_s

    def forget_overdue(self, customer: str, job_class: str, job_id: str) -> None:
        """Drop a job that has ended from those that are overdue."""
        self.overdue.get((customer, job_class), {}).pop(job_id, None)

    def record_checkpoint(self, customer: str, job_class: str, seconds: float) -> None:
        """Learn how long a checkpoint took."""
        key = (customer, job_class)
        self.checkpoints.setdefault(key, _DecayingStatistics()).add(math.log(max(0.01, seconds)))

    def checkpoint_p90_s(self, customer: str, job_class: str) -> float:
        """Return how long nine in ten checkpoints take, or infinity while too few were seen."""
        seen = self.checkpoints.get((customer, job_class))
        if seen is None or seen.weight < MIN_CHECKPOINT_WEIGHT:
            return math.inf
        return math.exp(
            seen.mean + P90_DEVIATIONS * math.sqrt(seen.squared_deviations / seen.weight)
        )

    def _overdue_floor(self, customer: str, job_class: str) -> float:
        """Return the median of overdue run times where they outnumber the finished ones."""
        overdue = self.overdue.get((customer, job_class))
        if not overdue:
            return 0.0
        finished = self.by_customer.get((customer, job_class))
        if finished is not None and finished.log_run_s.weight >= len(overdue):
            return 0.0
        return sorted(overdue.values())[len(overdue) // 2]

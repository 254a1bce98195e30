"""Run time predictions by customer and job class."""

from __future__ import annotations

import math

import attrs

DECAY = 0.98
"""Factor by which the weight of older observations decays with each new one."""

PRIOR_LOG_DEVIATION = math.log(4.0)
"""Standard deviation of log run times about their prediction, before any observation."""

PRIOR_WEIGHT = 3.0
"""Number of observations that the prior counts for."""

P90_DEVIATIONS = 1.28
"""Standard deviations from the mean to the 90th percentile of a normal distribution."""

MIN_CHECKPOINT_WEIGHT = 1.9
"""Smallest weight of observed checkpoint times for a prediction; two recent ones have 1.98."""

OVERDUE_FACTOR = 1.5
"""Ratio of the predicted total run time to the run time so far of an overdue job."""


@attrs.frozen
class Prediction:
    """A predicted run time.

    Parameters
    ----------
    median_s
        Median run time of such jobs, in seconds.
    p90_s
        90th percentile of their run times, in seconds.
    """

    median_s: float
    p90_s: float

    def remaining_s(self, elapsed_s: float) -> float:
        """Return the expected remaining run time of a job that has run for the given time."""
        return max(self.median_s, OVERDUE_FACTOR * elapsed_s) - elapsed_s

    def remaining_p90_s(self, elapsed_s: float) -> float:
        """Return the 90th percentile of the remaining run time."""
        return max(self.p90_s, OVERDUE_FACTOR**2 * elapsed_s) - elapsed_s


@attrs.define
class _DecayingStatistics:
    """Running mean and variance with exponentially decaying weights."""

    weight: float = 0.0
    mean: float = 0.0
    squared_deviations: float = 0.0

    def add(self, value: float) -> None:
        self.weight = self.weight * DECAY + 1
        deviation = value - self.mean
        self.mean += deviation / self.weight
        self.squared_deviations = self.squared_deviations * DECAY + deviation * (value - self.mean)

    def shrink_towards(self, mean: float, variance: float) -> tuple[float, float]:
        """Return mean and variance, shrunk towards the prior of a larger group."""
        total = self.weight + PRIOR_WEIGHT
        shrunk_mean = (self.weight * self.mean + PRIOR_WEIGHT * mean) / total
        between = self.weight * PRIOR_WEIGHT / total * (self.mean - mean) ** 2
        return shrunk_mean, (self.squared_deviations + PRIOR_WEIGHT * variance + between) / total


@attrs.define
class _RunTimeStatistics:
    """Statistics of the log run times of a group of jobs, and of their ratio to declared ones."""

    log_ratio: _DecayingStatistics = attrs.field(factory=_DecayingStatistics)
    log_run_s: _DecayingStatistics = attrs.field(factory=_DecayingStatistics)

    def add(self, declared_s: float, run_s: float) -> None:
        self.log_ratio.add(math.log(run_s / declared_s))
        self.log_run_s.add(math.log(run_s))


@attrs.define
class RunTimeHistory:
    """Observed run times.

    Attributes
    ----------
    by_customer
        Statistics by customer and job class.
    by_class
        Statistics by job class.
    overdue
        Run times so far, in seconds, of overdue jobs, by customer and job class.
    checkpoints
        Statistics of log checkpoint times, by customer and job class.
    version
        Number that changes with every finished job.
    """

    by_customer: dict[tuple[str, str], _RunTimeStatistics] = attrs.field(factory=dict)
    by_class: dict[str, _RunTimeStatistics] = attrs.field(factory=dict)
    overdue: dict[tuple[str, str], dict[str, float]] = attrs.field(factory=dict)
    checkpoints: dict[tuple[str, str], _DecayingStatistics] = attrs.field(factory=dict)
    version: int = 0

    def predict(self, customer: str, job_class: str, declared_s: float) -> Prediction:
        """Return the predicted run time of a job.

        Combines two estimates, weighted by their inverse variances: the declared run time,
        corrected by the usual ratio of run times to declared ones, and the usual run time.
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
        """Record the run time of a finished job."""
        for group, key in ((self.by_customer, (customer, job_class)), (self.by_class, job_class)):
            group.setdefault(key, _RunTimeStatistics()).add(max(1.0, declared_s), max(1.0, run_s))
        self.version += 1

    def record_overdue(self, customer: str, job_class: str, job_id: str, run_s: float) -> None:
        """Record the run time so far of a job that runs longer than predicted."""
        self.overdue.setdefault((customer, job_class), {})[job_id] = run_s

    def remove_overdue(self, customer: str, job_class: str, job_id: str) -> None:
        """Remove a job that has ended from the overdue ones."""
        self.overdue.get((customer, job_class), {}).pop(job_id, None)

    def record_checkpoint(self, customer: str, job_class: str, seconds: float) -> None:
        """Record how long a checkpoint took."""
        key = (customer, job_class)
        self.checkpoints.setdefault(key, _DecayingStatistics()).add(math.log(max(0.01, seconds)))

    def checkpoint_p90_s(self, customer: str, job_class: str) -> float:
        """Return the 90th percentile of checkpoint times, or infinity with too few observations."""
        seen = self.checkpoints.get((customer, job_class))
        if seen is None or seen.weight < MIN_CHECKPOINT_WEIGHT:
            return math.inf
        return math.exp(
            seen.mean + P90_DEVIATIONS * math.sqrt(seen.squared_deviations / seen.weight)
        )

    def _overdue_floor(self, customer: str, job_class: str) -> float:
        """Return the median run time of overdue jobs if they outweigh the finished ones, else 0."""
        overdue = self.overdue.get((customer, job_class))
        if not overdue:
            return 0.0
        finished = self.by_customer.get((customer, job_class))
        if finished is not None and finished.log_run_s.weight >= len(overdue):
            return 0.0
        return sorted(overdue.values())[len(overdue) // 2]

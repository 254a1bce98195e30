"""Predictions of run times by customer and class."""

from __future__ import annotations

import math

import attrs

FORGETTING = 0.98
"""Weight that an observation keeps when the next one comes."""

PRIOR_SPREAD = math.log(4.0)
"""Spread of run times about their prediction before anything was seen, in log units."""

PRIOR_WEIGHT = 3.0
"""Observations that the knowledge of the wider group counts for."""

HIGH_QUANTILE = 1.28
"""Standard deviations to the ninetieth percentile."""

LEAST_WEIGHT = 1.9
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
    high_s: float

    def remaining_s(self, elapsed_s: float) -> float:
        """Return how long a job goes on that has run for the given time."""
        return max(self.median_s, OVERDUE_FACTOR * elapsed_s) - elapsed_s

    def remaining_high_s(self, elapsed_s: float) -> float:
        """Return how long nine in ten such jobs go on at most."""
        return max(self.high_s, OVERDUE_FACTOR**2 * elapsed_s) - elapsed_s


@attrs.define
class _Spread:
    """Running mean and variance that forget slowly."""

    weight: float = 0.0
    mean: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        self.weight = self.weight * FORGETTING + 1
        step = value - self.mean
        self.mean += step / self.weight
        self.squares = self.squares * FORGETTING + step * (value - self.mean)

    def blend(self, mean: float, variance: float) -> tuple[float, float]:
        """Return mean and variance, drawn towards those of a wider group."""
        total = self.weight + PRIOR_WEIGHT
        blended = (self.weight * self.mean + PRIOR_WEIGHT * mean) / total
        apart = self.weight * PRIOR_WEIGHT / total * (self.mean - mean) ** 2
        return blended, (self.squares + PRIOR_WEIGHT * variance + apart) / total


@attrs.define
class _Experience:
    """Run times of one group of jobs, on their own and against the declared ones."""

    ratio: _Spread = attrs.field(factory=_Spread)
    run: _Spread = attrs.field(factory=_Spread)

    def add(self, declared_s: float, run_s: float) -> None:
        self.ratio.add(math.log(run_s / declared_s))
        self.run.add(math.log(run_s))


@attrs.define
class History:
    """Run times seen so far.

    Attributes
    ----------
    version
        Number that changes with every observation.
    """

    by_customer: dict[tuple[str, str], _Experience] = attrs.field(factory=dict)
    by_class: dict[str, _Experience] = attrs.field(factory=dict)
    overdue: dict[tuple[str, str], dict[str, float]] = attrs.field(factory=dict)
    checkpoints: dict[tuple[str, str], _Spread] = attrs.field(factory=dict)
    version: int = 0

    def predict(self, customer: str, job_class: str, declared_s: float) -> Prediction:
        """Return the expected run time of a job.

        The declared time, corrected by how far such declarations were off, and the usual run time
        of such jobs are weighed by how well each has predicted so far.
        """
        declared = math.log(max(1.0, declared_s))
        wide = self.by_class.get(job_class, _Experience())
        own = self.by_customer.get((customer, job_class), _Experience())
        ratio_mean, ratio_variance = own.ratio.blend(*wide.ratio.blend(0.0, PRIOR_SPREAD**2))
        run_mean, run_variance = own.run.blend(*wide.run.blend(declared, 4 * PRIOR_SPREAD**2))
        trust = run_variance / (run_variance + ratio_variance)
        mean = trust * (declared + ratio_mean) + (1 - trust) * run_mean
        spread = math.sqrt(min(ratio_variance, run_variance))
        median_s = math.exp(mean)
        floor_s = self._overdue_floor(customer, job_class)
        median_s = max(median_s, floor_s)
        return Prediction(median_s, median_s * math.exp(HIGH_QUANTILE * spread))

    def add(self, customer: str, job_class: str, declared_s: float, run_s: float) -> None:
        """Learn from a job that has finished."""
        for group, key in ((self.by_customer, (customer, job_class)), (self.by_class, job_class)):
            group.setdefault(key, _Experience()).add(max(1.0, declared_s), max(1.0, run_s))
        self.version += 1

    def add_overdue(self, customer: str, job_class: str, job_id: str, run_s: float) -> None:
        """Learn from a job that runs longer than predicted and hasn't ended."""
        self.overdue.setdefault((customer, job_class), {})[job_id] = run_s

    def forget_overdue(self, customer: str, job_class: str, job_id: str) -> None:
        """Drop a job that has ended from those that are overdue."""
        self.overdue.get((customer, job_class), {}).pop(job_id, None)

    def add_checkpoint(self, customer: str, job_class: str, seconds: float) -> None:
        """Learn how long a checkpoint took."""
        key = (customer, job_class)
        self.checkpoints.setdefault(key, _Spread()).add(math.log(max(0.01, seconds)))

    def checkpoint_s(self, customer: str, job_class: str) -> float:
        """Return how long nine in ten checkpoints take, or infinity while too few were seen."""
        seen = self.checkpoints.get((customer, job_class))
        if seen is None or seen.weight < LEAST_WEIGHT:
            return math.inf
        return math.exp(seen.mean + HIGH_QUANTILE * math.sqrt(seen.squares / seen.weight))

    def _overdue_floor(self, customer: str, job_class: str) -> float:
        """Return the median of overdue run times where they outnumber the finished ones."""
        overdue = self.overdue.get((customer, job_class))
        if not overdue:
            return 0.0
        finished = self.by_customer.get((customer, job_class))
        if finished is not None and finished.run.weight >= len(overdue):
            return 0.0
        return sorted(overdue.values())[len(overdue) // 2]

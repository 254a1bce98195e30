"""Run time predictions learned from observed run times."""

from __future__ import annotations

import math
import random

import pytest

from briardeal_scheduling.predictions import RunTimeHistory


def test_declared_run_times_that_are_ten_times_too_long_are_corrected() -> None:
    history = RunTimeHistory()
    rng = random.Random(1)
    for _ in range(50):
        run_s = 100 * math.exp(rng.gauss(0, 1))
        history.record_run("anna", "nightly", 10 * run_s, run_s)
    assert history.predict("anna", "nightly", 50_000).median_s == pytest.approx(5000, rel=0.2)


def test_usual_run_time_prevails_over_random_declarations() -> None:
    history = RunTimeHistory()
    rng = random.Random(2)
    for _ in range(100):
        declared_s = 1000 * math.exp(rng.uniform(-2.3, 2.3))
        history.record_run("anna", "nightly", declared_s, 1000 * math.exp(rng.gauss(0, 0.1)))
    assert history.predict("anna", "nightly", 10_000).median_s == pytest.approx(1000, rel=0.3)


def test_overdue_jobs_raise_the_prediction_until_they_end() -> None:
    history = RunTimeHistory()
    history.record_overdue("anna", "nightly", "job", 7200.0)
    assert history.predict("anna", "nightly", 60.0).median_s >= 7200.0
    history.remove_overdue("anna", "nightly", "job")
    assert history.predict("anna", "nightly", 60.0).median_s < 7200.0

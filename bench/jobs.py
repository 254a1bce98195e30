"""Completion time, fragmentation and guarantees of the scheduling decisions."""

from __future__ import annotations

import math
import statistics
from functools import partial
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

from bench.figures import Bound, Figure
from bench.job_loads import (
    Backfill,
    FirstInFirstOut,
    burst,
    cooperative,
    fleet_of,
    gangs,
    run_load,
    target,
    target_configuration,
    vzorec,
)
from briardeal_scheduling import Finished, Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from bench.job_loads import Account, Load, LoadJob

AIM = 0.7
URGENT_START_S = 1.1
HOUR_S = 3600.0
CHECK_EVERY_ROUNDS = 50
SIZES = (315, 630, 1260)
BURST_JOBS = 1000
CUSTOMERS = 20
GANGS = 10
LATER_S = 600.0
LONGEST_S = 100 * 24 * HOUR_S
LOADS = ((vzorec, (1, 2, 3)), (cooperative, (1, 2, 3)), (target, (1, 2)))


def parts() -> list[Callable[[], Any]]:
    """Return the runs of each load and seed, the longest first, and the cost of a round."""
    runs = [partial(run_comparison, make, seed) for make, seeds in LOADS for seed in seeds]
    return [*reversed(runs), _measure_cost, _measure_burst]


def combine(results: list[Any]) -> list[Figure]:
    """Return the figures of all three loads, with their seeds pooled, and the cost of a round."""
    *reversed_runs, cost, burst_cost = results
    runs = list(reversed(reversed_runs))
    figures = []
    for _, seeds in LOADS:
        figures.extend(_measure_load(runs[: len(seeds)]))
        del runs[: len(seeds)]
    return [*figures, *cost, *burst_cost]


def run_comparison(make: Callable[[int], Load], seed: int) -> Comparison:
    """Run one load with one seed."""
    return Comparison.run(make(seed))


@attrs.frozen
class Comparison:
    """A load under the scheduler and under two baselines, over the jobs that all of them ended."""

    load: Load
    ours: Account
    baselines: tuple[Account, Account]
    jobs: list[LoadJob]

    @classmethod
    def run(cls, load: Load) -> Comparison:
        """Run a load three times."""
        ours = run_load(load, Scheduler(), CHECK_EVERY_ROUNDS)
        baselines = (run_load(load, FirstInFirstOut()), run_load(load, Backfill()))
        common = set(ours.ends).intersection(*(account.ends for account in baselines))
        jobs = [
            job
            for job in load.jobs
            if job.request.job_id in common and job.request.job_id not in load.cancellations
        ]
        return cls(load, ours, baselines, jobs)

    @property
    def accounts(self) -> tuple[Account, Account, Account]:
        """The scheduler, first in first out, and plain backfill."""
        return self.ours, *self.baselines

    def urgent_waits_s(self) -> list[float]:
        """Return the time to the start of each urgent job within a guarantee."""
        submitted = {job.request.job_id: job.at_s for job in self.load.jobs}
        return [
            self.ours.first_starts.get(job_id, LONGEST_S) - submitted[job_id]
            for job_id in self.ours.covered_urgent
            if job_id not in self.load.cancellations
        ]


def _measure_load(runs: list[Comparison]) -> list[Figure]:
    name = runs[0].load.name
    figures = [*_completion(runs), *_classes(runs), *_fragmentation(runs)]
    figures += [*_guarantees(runs), *_rounds(runs)]
    return [Figure(name, *figure) for figure in figures]


def _completion(runs: list[Comparison]) -> list[tuple]:
    alone = [job.run_s for run in runs for job in run.jobs]
    ours, first, backfill = (_completions_s(runs, position) for position in range(3))
    slowdowns = [end / max(run_s, 10.0) for end, run_s in zip(ours, alone, strict=True)]
    best = min(_percentile(first, 95), _percentile(backfill, 95))
    ratio = _percentile(ours, 95) / best
    return [
        ("jobs compared", len(alone), ""),
        ("completion, mean", statistics.mean(ours) / HOUR_S, "h"),
        ("completion, mean, plain backfill", statistics.mean(backfill) / HOUR_S, "h"),
        ("completion, p95", _percentile(ours, 95) / HOUR_S, "h"),
        ("completion, p95, first in first out", _percentile(first, 95) / HOUR_S, "h"),
        ("completion, p95, plain backfill", _percentile(backfill, 95) / HOUR_S, "h"),
        ("completion, p95, if nothing ever waited", _percentile(alone, 95) / HOUR_S, "h"),
        ("completion, p95, to the better baseline", ratio, "", Bound("<=", AIM)),
        ("slowdown, mean", statistics.mean(slowdowns), ""),
        ("slowdown, p95", _percentile(slowdowns, 95), ""),
    ]


def _completions_s(runs: list[Comparison], position: int) -> list[float]:
    return [
        run.accounts[position].ends[job.request.job_id] - job.at_s
        for run in runs
        for job in run.jobs
    ]


def _classes(runs: list[Comparison]) -> list[tuple]:
    figures = []
    for job_class in runs[0].load.configuration.classes:
        for position, label in ((0, ""), (2, ", plain backfill")):
            met = [
                run.accounts[position].ends[job.request.job_id] - job.at_s
                <= job_class.finish_within_s
                for run in runs
                for job in run.jobs
                if job.request.job_class == job_class.name
            ]
            title = f"{job_class.name} finished within target{label}"
            figures.append((title, statistics.mean(met), ""))
    return figures


def _fragmentation(runs: list[Comparison]) -> list[tuple]:
    span_s = sum(run.load.span_s for run in runs)
    ours, first, backfill = (
        sum(run.accounts[position].fragmented_s for run in runs) / span_s for position in range(3)
    )
    capacity = sum(shape.accelerators for shape in runs[0].load.shapes)
    return [
        ("fragmentation", ours, ""),
        ("fragmentation, first in first out", first, ""),
        ("fragmentation, plain backfill", backfill, ""),
        ("fragmentation, to plain backfill", ours / backfill, ""),
        (
            "fragmentation, to the better baseline",
            ours / min(first, backfill),
            "",
            Bound("<=", AIM),
        ),
        ("largest startable gang", sum(run.ours.whole_free_s for run in runs) / span_s, "accel."),
        ("accelerators in use", sum(run.ours.busy_s for run in runs) / span_s / capacity, ""),
        ("tasks running", sum(run.ours.task_s for run in runs) / span_s, ""),
    ]


def _guarantees(runs: list[Comparison]) -> list[tuple]:
    waits = [wait_s for run in runs for wait_s in run.urgent_waits_s()]
    lost = sum(run.ours.lost_accelerator_s for run in runs) / sum(run.ours.busy_s for run in runs)
    prompt = Bound("<=", URGENT_START_S)
    return [
        ("guarantee violations", sum(run.ours.violations for run in runs), "", Bound("==", 0)),
        ("guarantee checks", sum(run.ours.checks for run in runs), "", Bound(">=", 1)),
        ("urgent starts within a guarantee", len(waits), "", Bound(">=", 1)),
        ("urgent start within a guarantee, p99", _percentile(waits, 99), "s", prompt),
        ("urgent start within a guarantee, longest", max(waits), "s"),
        ("preemptions", sum(run.ours.preemptions for run in runs), ""),
        ("work lost by preemption, of all work", lost, ""),
        (
            "jobs neither ended nor given up",
            sum(run.ours.open_jobs for run in runs),
            "",
            Bound("==", 0),
        ),
    ]


def _rounds(runs: list[Comparison]) -> list[tuple]:
    round_ms = [1e3 * seconds for run in runs for seconds in run.ours.round_s]
    return [
        ("rounds", len(round_ms), ""),
        ("processor time of a round, mean", statistics.mean(round_ms), "ms"),
        ("processor time of a round, p99", _percentile(round_ms, 99), "ms"),
        ("processor time of a round, longest", max(round_ms), "ms"),
    ]


def _measure_cost() -> list[Figure]:
    """Count the VMs looked at in one full round as the number of VMs doubles."""
    counts = [_examined(workers) for workers in SIZES]
    doublings = list(zip(SIZES, counts, strict=True))
    figures = []
    for (few, before), (many, after) in zip(doublings, doublings[1:], strict=False):
        allowed = many * math.log(many) / (few * math.log(few))
        title = f"growth of the VMs examined, {few} to {many} VMs"
        figures.append(Figure("cost", title, after / before, "", Bound("<=", allowed)))
    examined = [
        Figure("cost", f"VMs examined in a full round, {workers} VMs", count, "")
        for workers, count in zip(SIZES, counts, strict=True)
    ]
    return examined + figures


def _examined(workers: int) -> int:
    """Count the VMs looked at to plan all guarantees and to serve gangs on a full cluster."""
    scheduler = _scheduler(workers)
    for job in burst(3 * workers):
        scheduler.submit(job.request, 0.0)
    for decision in scheduler.decide(0.0):
        scheduler.report_started(decision.job_id, 0.0)
    before = scheduler.state.examined
    scheduler.state.ledger.stale = True
    for job in gangs(GANGS):
        scheduler.submit(job.request, LATER_S)
    scheduler.decide(LATER_S)
    return scheduler.state.examined - before


def _measure_burst() -> list[Figure]:
    """Show that a burst of small jobs does not hold up urgent work, nor costs more per job."""
    counts = [_examined_in_burst(jobs) for jobs in (BURST_JOBS, 2 * BURST_JOBS)]
    growth = counts[1] / counts[0]
    allowed = 2 * math.log(2 * BURST_JOBS) / math.log(BURST_JOBS)
    return [
        Figure("burst", f"VMs examined for {BURST_JOBS} small jobs", counts[0], ""),
        Figure("burst", "growth for twice as many", growth, "", Bound("<=", allowed)),
    ]


def _examined_in_burst(count: int) -> int:
    scheduler = _scheduler(SIZES[1])
    for job in burst(count):
        scheduler.submit(job.request, 0.0)
    started = scheduler.decide(0.0)
    for decision in started[: count // 10]:
        scheduler.report_ended(decision.job_id, Finished(), 1.0)
    scheduler.decide(1.0)
    return scheduler.state.examined


def _scheduler(workers: int) -> Scheduler:
    scheduler = Scheduler()
    scheduler.configure(target_configuration(CUSTOMERS), 0.0)
    for shape in fleet_of(workers):
        scheduler.worker_up(shape, 0.0)
    return scheduler


def _percentile(values: Iterable[float], percent: float) -> float:
    histogram = HdrHistogram(1, int(LONGEST_S * 1000), 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1000)))
    return histogram.get_value_at_percentile(percent) / 1000

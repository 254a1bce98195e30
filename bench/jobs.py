"""Completion time, fragmentation and guarantees of the scheduler on simulated workloads."""

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
    create_cooperative,
    create_fleet,
    create_gangs,
    create_small_jobs,
    create_target,
    create_target_configuration,
    create_vzorec,
    simulate_workload,
)
from briardeal_scheduling import Finished, Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from bench.job_loads import Workload, WorkloadJob, WorkloadMetrics

MAX_RATIO_TO_BASELINE = 0.7
"""Bound on the ratio of a figure to that of the better baseline."""

URGENT_START_S = 1.1
HOUR_S = 3600.0
CHECK_EVERY_ROUNDS = 50
FLEET_SIZES = (315, 630, 1260)
BURST_JOBS = 1000
CUSTOMERS = 20
GANGS = 10
GANG_SUBMISSION_S = 600.0
MAX_RECORDED_S = 100 * 24 * HOUR_S
"""Largest time that histograms record, and the wait of a job that never started."""

WORKLOADS = ((create_vzorec, (1, 2, 3)), (create_cooperative, (1, 2, 3)), (create_target, (1, 2)))


def parts() -> list[Callable[[], Any]]:
    """Return the simulations of each workload and seed, longest first, and the cost of a round."""
    runs = [partial(run_comparison, create, seed) for create, seeds in WORKLOADS for seed in seeds]
    return [*reversed(runs), _measure_cost, _measure_burst]


def combine(results: list[Any]) -> list[Figure]:
    """Return the figures of each workload, with its seeds pooled, and the cost of a round."""
    *reversed_runs, cost, burst_cost = results
    runs = list(reversed(reversed_runs))
    figures = []
    for _, seeds in WORKLOADS:
        figures.extend(_measure_workload(runs[: len(seeds)]))
        del runs[: len(seeds)]
    return [*figures, *cost, *burst_cost]


def run_comparison(create: Callable[[int], Workload], seed: int) -> Comparison:
    """Compare the scheduler with the baselines on one workload with one seed."""
    return Comparison.run(create(seed))


@attrs.frozen
class Comparison:
    """Metrics of one workload under the scheduler and under two baselines.

    Attributes
    ----------
    baselines
        Metrics under first in, first out, and under plain backfill.
    jobs
        Jobs to compare: those that finished under all three and that no customer cancelled.
    """

    workload: Workload
    scheduler: WorkloadMetrics
    baselines: tuple[WorkloadMetrics, WorkloadMetrics]
    jobs: list[WorkloadJob]

    @classmethod
    def run(cls, workload: Workload) -> Comparison:
        """Simulate a workload under the scheduler and under both baselines."""
        scheduler = simulate_workload(workload, Scheduler(), CHECK_EVERY_ROUNDS)
        baselines = (
            simulate_workload(workload, FirstInFirstOut()),
            simulate_workload(workload, Backfill()),
        )
        common = set(scheduler.end_s_by_job).intersection(
            *(metrics.end_s_by_job for metrics in baselines)
        )
        jobs = [
            job
            for job in workload.jobs
            if job.request.job_id in common and job.request.job_id not in workload.cancellations
        ]
        return cls(workload, scheduler, baselines, jobs)

    @property
    def metrics(self) -> tuple[WorkloadMetrics, WorkloadMetrics, WorkloadMetrics]:
        """Metrics under the scheduler, first in first out, and plain backfill."""
        return self.scheduler, *self.baselines

    def urgent_waits_s(self) -> list[float]:
        """Return the time to the first start of each guaranteed urgent job, in seconds."""
        submitted = {job.request.job_id: job.at_s for job in self.workload.jobs}
        return [
            self.scheduler.first_start_s_by_job.get(job_id, MAX_RECORDED_S) - submitted[job_id]
            for job_id in self.scheduler.guaranteed_urgent
            if job_id not in self.workload.cancellations
        ]


def _measure_workload(runs: list[Comparison]) -> list[Figure]:
    name = runs[0].workload.name
    figures = [*_measure_completion(runs), *_measure_classes(runs), *_measure_fragmentation(runs)]
    figures += [*_measure_guarantees(runs), *_measure_rounds(runs)]
    return [Figure(name, *figure) for figure in figures]


def _measure_completion(runs: list[Comparison]) -> list[tuple]:
    run_times_s = [job.run_s for run in runs for job in run.jobs]
    scheduler_s, fifo_s, backfill_s = (_list_completions_s(runs, position) for position in range(3))
    slowdowns = [
        end / max(run_s, 10.0) for end, run_s in zip(scheduler_s, run_times_s, strict=True)
    ]
    best = min(_percentile(fifo_s, 95), _percentile(backfill_s, 95))
    ratio = _percentile(scheduler_s, 95) / best
    return [
        ("jobs compared", len(run_times_s), ""),
        ("completion, mean", statistics.mean(scheduler_s) / HOUR_S, "h"),
        ("completion, mean, plain backfill", statistics.mean(backfill_s) / HOUR_S, "h"),
        ("completion, p95", _percentile(scheduler_s, 95) / HOUR_S, "h"),
        ("completion, p95, first in first out", _percentile(fifo_s, 95) / HOUR_S, "h"),
        ("completion, p95, plain backfill", _percentile(backfill_s, 95) / HOUR_S, "h"),
        ("completion, p95, if nothing ever waited", _percentile(run_times_s, 95) / HOUR_S, "h"),
        ("completion, p95, to the better baseline", ratio, "", Bound("<=", MAX_RATIO_TO_BASELINE)),
        ("slowdown, mean", statistics.mean(slowdowns), ""),
        ("slowdown, p95", _percentile(slowdowns, 95), ""),
    ]


def _list_completions_s(runs: list[Comparison], position: int) -> list[float]:
    return [
        run.metrics[position].end_s_by_job[job.request.job_id] - job.at_s
        for run in runs
        for job in run.jobs
    ]


def _measure_classes(runs: list[Comparison]) -> list[tuple]:
    figures = []
    for job_class in runs[0].workload.configuration.classes:
        for position, label in ((0, ""), (2, ", plain backfill")):
            met = [
                run.metrics[position].end_s_by_job[job.request.job_id] - job.at_s
                <= job_class.finish_within_s
                for run in runs
                for job in run.jobs
                if job.request.job_class == job_class.name
            ]
            title = f"{job_class.name} finished within target{label}"
            figures.append((title, statistics.mean(met), ""))
    return figures


def _measure_fragmentation(runs: list[Comparison]) -> list[tuple]:
    span_s = sum(run.workload.span_s for run in runs)
    scheduler, fifo, backfill = (
        sum(run.metrics[position].fragmented_s for run in runs) / span_s for position in range(3)
    )
    capacity = sum(shape.accelerators for shape in runs[0].workload.shapes)
    return [
        ("fragmentation", scheduler, ""),
        ("fragmentation, first in first out", fifo, ""),
        ("fragmentation, plain backfill", backfill, ""),
        ("fragmentation, to plain backfill", scheduler / backfill, ""),
        (
            "fragmentation, to the better baseline",
            scheduler / min(fifo, backfill),
            "",
            Bound("<=", MAX_RATIO_TO_BASELINE),
        ),
        (
            "largest startable gang",
            sum(run.scheduler.idle_vm_accelerator_s for run in runs) / span_s,
            "accel.",
        ),
        (
            "accelerators in use",
            sum(run.scheduler.accelerator_s for run in runs) / span_s / capacity,
            "",
        ),
        ("tasks running", sum(run.scheduler.task_s for run in runs) / span_s, ""),
    ]


def _measure_guarantees(runs: list[Comparison]) -> list[tuple]:
    waits = [wait_s for run in runs for wait_s in run.urgent_waits_s()]
    lost = sum(run.scheduler.lost_accelerator_s for run in runs) / sum(
        run.scheduler.accelerator_s for run in runs
    )
    start_bound = Bound("<=", URGENT_START_S)
    return [
        ("guarantee violations", sum(run.scheduler.violations for run in runs), "", Bound("==", 0)),
        ("guarantee checks", sum(run.scheduler.checks for run in runs), "", Bound(">=", 1)),
        ("urgent starts within a guarantee", len(waits), "", Bound(">=", 1)),
        ("urgent start within a guarantee, p99", _percentile(waits, 99), "s", start_bound),
        ("urgent start within a guarantee, longest", max(waits), "s"),
        ("preemptions", sum(run.scheduler.preemptions for run in runs), ""),
        ("work lost by preemption, of all work", lost, ""),
        (
            "jobs neither ended nor given up",
            sum(run.scheduler.remaining_jobs for run in runs),
            "",
            Bound("==", 0),
        ),
    ]


def _measure_rounds(runs: list[Comparison]) -> list[tuple]:
    round_ms = [1e3 * seconds for run in runs for seconds in run.scheduler.round_times_s]
    return [
        ("rounds", len(round_ms), ""),
        ("processor time of a round, mean", statistics.mean(round_ms), "ms"),
        ("processor time of a round, p99", _percentile(round_ms, 99), "ms"),
        ("processor time of a round, longest", max(round_ms), "ms"),
    ]


def _measure_cost() -> list[Figure]:
    """Return how many VMs one full round examines as the number of VMs doubles."""
    counts = [_count_examined(workers) for workers in FLEET_SIZES]
    count_by_size = list(zip(FLEET_SIZES, counts, strict=True))
    figures = []
    for (few, before), (many, after) in zip(count_by_size, count_by_size[1:], strict=False):
        allowed = many * math.log(many) / (few * math.log(few))
        title = f"growth of the VMs examined, {few} to {many} VMs"
        figures.append(Figure("cost", title, after / before, "", Bound("<=", allowed)))
    examined = [
        Figure("cost", f"VMs examined in a full round, {workers} VMs", count, "")
        for workers, count in zip(FLEET_SIZES, counts, strict=True)
    ]
    return examined + figures


def _count_examined(workers: int) -> int:
    """Return how many VMs are examined to plan all guarantees and place gangs on a full cluster."""
    scheduler = _create_scheduler(workers)
    for job in create_small_jobs(3 * workers):
        scheduler.submit(job.request, 0.0)
    for decision in scheduler.decide(0.0):
        scheduler.report_started(decision.job_id, 0.0)
    before = scheduler.state.examined
    scheduler.state.ledger.stale = True
    for job in create_gangs(GANGS):
        scheduler.submit(job.request, GANG_SUBMISSION_S)
    scheduler.decide(GANG_SUBMISSION_S)
    return scheduler.state.examined - before


def _measure_burst() -> list[Figure]:
    """Return how many VMs are examined for a burst of small jobs and for one of twice the size.

    The bound shows that the cost per job does not grow with the burst, so that urgent work is not
    held up.
    """
    counts = [_count_examined_in_burst(jobs) for jobs in (BURST_JOBS, 2 * BURST_JOBS)]
    growth = counts[1] / counts[0]
    allowed = 2 * math.log(2 * BURST_JOBS) / math.log(BURST_JOBS)
    return [
        Figure("burst", f"VMs examined for {BURST_JOBS} small jobs", counts[0], ""),
        Figure("burst", "growth for twice as many", growth, "", Bound("<=", allowed)),
    ]


def _count_examined_in_burst(count: int) -> int:
    scheduler = _create_scheduler(FLEET_SIZES[1])
    for job in create_small_jobs(count):
        scheduler.submit(job.request, 0.0)
    started = scheduler.decide(0.0)
    for decision in started[: count // 10]:
        scheduler.report_ended(decision.job_id, Finished(), 1.0)
    scheduler.decide(1.0)
    return scheduler.state.examined


def _create_scheduler(workers: int) -> Scheduler:
    scheduler = Scheduler()
    scheduler.configure(create_target_configuration(CUSTOMERS), 0.0)
    for shape in create_fleet(workers):
        scheduler.worker_up(shape, 0.0)
    return scheduler


def _percentile(values: Iterable[float], percent: float) -> float:
    histogram = HdrHistogram(1, int(MAX_RECORDED_S * 1000), 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1000)))
    return histogram.get_value_at_percentile(percent) / 1000

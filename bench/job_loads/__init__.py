"""Workloads of jobs, simulated on virtual time under the scheduler and baselines."""

from bench.job_loads._baseline_schedulers import Backfill, FirstInFirstOut
from bench.job_loads._metrics import WorkloadMetrics
from bench.job_loads._scenarios import (
    create_cooperative,
    create_fleet,
    create_gangs,
    create_small_jobs,
    create_target,
    create_target_configuration,
    create_vzorec,
)
from bench.job_loads._simulator import simulate_workload
from bench.job_loads._workload import Outage, Workload, WorkloadJob

__all__ = [
    "WorkloadMetrics",
    "Backfill",
    "FirstInFirstOut",
    "Workload",
    "WorkloadJob",
    "Outage",
    "create_small_jobs",
    "create_cooperative",
    "create_fleet",
    "create_gangs",
    "simulate_workload",
    "create_target",
    "create_target_configuration",
    "create_vzorec",
]

"""Loads of jobs with a fake of the workers, on virtual time."""

from bench.job_loads._account import Account
from bench.job_loads._baselines import Backfill, FirstInFirstOut
from bench.job_loads._fake import run_load
from bench.job_loads._load import Load, LoadJob, Outage
from bench.job_loads._sizes import (
    burst,
    cooperative,
    fleet_of,
    gangs,
    target,
    target_configuration,
    vzorec,
)

__all__ = [
    "Account",
    "Backfill",
    "FirstInFirstOut",
    "Load",
    "LoadJob",
    "Outage",
    "burst",
    "cooperative",
    "fleet_of",
    "gangs",
    "run_load",
    "target",
    "target_configuration",
    "vzorec",
]

"""The typed form of a job and of a worker."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from briardeal_core.configuration import Adjacency


class JobState(enum.StrEnum):
    """Where a job stands."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A job as its customer declares it.

    Parameters
    ----------
    job_id
        Name of the job, unique; chosen by the entry that accepts it.
    customer
        Customer that owns the job.
    job_class
        Class of work, which carries the targets.
    tasks
        Number of tasks, all of which run at once or not at all; each on a VM of its own.
    accelerators_per_task
        Accelerators that each task needs.
    adjacency
        How close together the VMs must be.
    declared_run_s
        Run time as the customer declares it, in seconds; it may be far off.
    checkpointable
        Whether the job can be stopped and resumed from a checkpoint.
    idempotent
        Whether the job may run again after it has started and was lost.
    command
        What each task runs; opaque here.
    """

    job_id: str
    customer: str
    job_class: str
    tasks: Annotated[int, msgspec.Meta(ge=1)]
    accelerators_per_task: Annotated[int, msgspec.Meta(ge=0)]
    adjacency: Adjacency = Adjacency.REGION
    declared_run_s: Annotated[float, msgspec.Meta(gt=0)] = 3600.0
    checkpointable: bool = False
    idempotent: bool = True
    command: str = ""


class WorkerShape(msgspec.Struct, frozen=True, kw_only=True):
    """A worker VM, where it stands and what it has.

    Parameters
    ----------
    worker_id
        Name of the VM, unique among those that live.
    region, failure_domain, rack
        Where it stands, from large to small.
    accelerators
        Number of accelerators.
    cores
        Number of processor cores.
    memory_gb
        Memory in GB.
    """

    worker_id: str
    region: str
    failure_domain: str
    rack: str
    accelerators: int
    cores: int = 0
    memory_gb: int = 0

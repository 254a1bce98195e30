"""Types of a job, its states and a worker."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from briardeal_core.configuration import Adjacency


class JobState(enum.StrEnum):
    """State of a job."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class JobRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A job as submitted by its customer.

    Parameters
    ----------
    job_id
        Unique name of the job, chosen by the entry that accepts it.
    customer
        Customer that owns the job.
    job_class
        Class of the job, which determines its targets.
    tasks
        Number of tasks. They run all at the same time or not at all, each on its own VM.
    accelerators_per_task
        Number of accelerators that each task needs.
    adjacency
        How close to each other the VMs must be.
    declared_run_s
        Run time that the customer expects, in seconds; it can be wrong by a large factor.
    checkpointable
        Whether the job can be stopped and resumed from a checkpoint.
    idempotent
        Whether the job may run again if it is lost after its start.
    command
        Command that each task runs; the scheduler does not interpret it.
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
    """Location and resources of a worker VM.

    Parameters
    ----------
    worker_id
        Name of the VM, unique among the live VMs.
    region, failure_domain, rack
        Location of the VM, from the largest unit to the smallest.
    accelerators
        Number of accelerators.
    cores
        Number of processor cores.
    memory_gb
        Size of the memory, in GB.
    """

    worker_id: str
    region: str
    failure_domain: str
    rack: str
    accelerators: int
    cores: int = 0
    memory_gb: int = 0

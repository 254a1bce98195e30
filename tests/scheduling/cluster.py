"""A scheduler with a few VMs, for tests of single decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardeal_core.configuration import Configuration, Customer, Guarantee, JobClass
from briardeal_core.jobs import JobRequest, WorkerShape
from briardeal_scheduling import Scheduler

if TYPE_CHECKING:
    from briardeal_core.configuration import Adjacency

CLASSES = (
    JobClass(name="urgent", finish_within_s=600, start_within_s=1.1),
    JobClass(name="nightly", finish_within_s=8 * 3600),
)


def cluster(
    vms: int = 3, accelerators: int = 8, margin: int = 0, **guarantees: tuple[Guarantee, ...]
) -> Scheduler:
    """Return a scheduler with three VMs per rack, and a customer for each keyword argument."""
    customers = [Customer(name="anna"), Customer(name="boris", quota_accelerators=16)]
    customers += [Customer(name=name, guarantees=own) for name, own in guarantees.items()]
    scheduler = Scheduler()
    scheduler.configure(
        Configuration(classes=CLASSES, customers=tuple(customers), failure_margin_vms=margin), 0.0
    )
    for number in range(vms):
        scheduler.worker_up(worker(number, accelerators), 0.0)
    return scheduler


def worker(number: int, accelerators: int = 8) -> WorkerShape:
    return WorkerShape(
        worker_id=f"vm{number}",
        region="north",
        failure_domain="north-1",
        rack=f"rack{number // 3}",
        accelerators=accelerators,
    )


def guarantee(job_class: str, vms: int, accelerators: int) -> Guarantee:
    return Guarantee(job_class=job_class, vms=vms, accelerators_per_vm=accelerators)


def submit(
    scheduler: Scheduler,
    job_id: str,
    now_s: float = 0.0,
    *,
    customer: str = "anna",
    job_class: str = "nightly",
    tasks: int = 1,
    accelerators: int = 8,
    adjacency: Adjacency | None = None,
    declared_run_s: float = 3600.0,
    checkpointable: bool = True,
    idempotent: bool = True,
):
    """Submit a job and return the refusal, if any."""
    more = {} if adjacency is None else {"adjacency": adjacency}
    request = JobRequest(
        job_id=job_id,
        customer=customer,
        job_class=job_class,
        tasks=tasks,
        accelerators_per_task=accelerators,
        declared_run_s=declared_run_s,
        checkpointable=checkpointable,
        idempotent=idempotent,
        **more,
    )
    return scheduler.submit(request, now_s)


def run_all(scheduler: Scheduler, now_s: float = 0.0) -> dict[str, object]:
    """Run a round, report every start as done, and return the decisions by job."""
    decisions = {decision.job_id: decision for decision in scheduler.decide(now_s)}
    for job_id in decisions:
        scheduler.report_started(job_id, now_s)
    return decisions

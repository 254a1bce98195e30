"""Workloads of the two current users, and of the target size."""

from __future__ import annotations

import random

from bench.job_loads._workload import (
    DAY_S,
    JobProfile,
    Workload,
    WorkloadJob,
    draw_cancellations,
    draw_jobs,
    draw_outages,
    scale_run_times,
)
from briardeal_core.configuration import Adjacency, Configuration, Customer, Guarantee, JobClass
from briardeal_core.jobs import JobRequest, WorkerShape

RACK, DOMAIN, REGION = Adjacency.RACK, Adjacency.FAILURE_DOMAIN, Adjacency.REGION
HOUR_S = 3600.0
OUTAGES_PER_WORKER_DAY = (7 + 48) / 630

CLASSES = (
    JobClass(name="urgent", finish_within_s=0.5 * HOUR_S, start_within_s=1.1),
    JobClass(name="draw", finish_within_s=2 * HOUR_S),
    JobClass(name="forecast", finish_within_s=8 * HOUR_S),
    JobClass(name="nightly", finish_within_s=36 * HOUR_S),
)


def create_vzorec(seed: int) -> Workload:
    """Return the workload of the franchise: many draws, some of which the fieldwork waits for."""
    rng = random.Random(seed)
    profiles = [
        JobProfile("draw", 0.50, 900, 1.0, ((1, 1, REGION), (1, 2, REGION), (1, 4, REGION))),
        JobProfile("urgent", 0.10, 240, 0.5, ((1, 1, REGION), (1, 2, REGION))),
        JobProfile("forecast", 0.25, 4500, 1.0, ((1, 8, REGION), (2, 4, RACK), (2, 8, RACK)), 0.8),
        JobProfile("nightly", 0.15, 18000, 1.0, ((1, 8, REGION), (2, 8, RACK), (3, 8, RACK)), 0.9),
    ]
    regions = [("maribor", 3), ("koper", 3), ("ljubljana", 5)]
    return _create_small_workload(
        "vzorec", rng, regions, profiles, cores=64, memory_gb=256, jobs_per_day=120
    )


def create_cooperative(seed: int) -> Workload:
    """Return the workload of the co-operative: tallies at night, forecasts before sailings."""
    rng = random.Random(seed)
    night, morning = (21, 22, 23, 0), (2, 3, 4)
    small_shapes = ((1, 1, REGION), (1, 2, REGION))
    profiles = [
        JobProfile("draw", 0.40, 600, 1.0, small_shapes, hours=tuple(range(6, 22))),
        JobProfile("urgent", 0.10, 240, 0.5, small_shapes),
        JobProfile(
            "forecast",
            0.30,
            3600,
            0.8,
            ((1, 4, REGION), (2, 8, RACK), (3, 4, RACK)),
            0.8,
            hours=morning,
        ),
        JobProfile(
            "nightly",
            0.20,
            7200,
            1.0,
            ((2, 8, RACK), (3, 8, RACK)),
            0.9,
            hours=night,
        ),
    ]
    regions = [("mangalia", 3), ("sulina", 3), ("constanta", 5)]
    return _create_small_workload(
        "cooperative", rng, regions, profiles, cores=32, memory_gb=64, jobs_per_day=100
    )


def create_target(seed: int) -> Workload:
    """Return the workload of the target size."""
    rng = random.Random(seed)
    small_shapes = ((1, 1, REGION), (1, 2, REGION), (1, 2, REGION), (1, 4, REGION))
    gang_shapes = ((2, 8, RACK), (4, 2, RACK), (4, 8, DOMAIN), (8, 2, DOMAIN), (16, 2, REGION))
    large_shapes = (
        (8, 8, REGION),
        (16, 2, DOMAIN),
        (32, 2, REGION),
        (64, 1, REGION),
        (64, 2, REGION),
    )
    cpu_shapes = ((16, 0, REGION), (32, 0, REGION), (64, 0, REGION))
    profiles = [
        JobProfile("draw", 0.22, 1800, 1.0, small_shapes),
        JobProfile("urgent", 0.08, 300, 0.5, small_shapes),
        JobProfile("forecast", 0.15, 7200, 1.0, gang_shapes, 0.85),
        JobProfile("nightly", 0.10, 14400, 1.0, large_shapes, 0.95, 0.95),
        JobProfile("nightly", 0.45, 18000, 1.0, cpu_shapes, 0.9, 0.95),
    ]
    span_s = 3 * DAY_S
    shapes = create_fleet(630)
    configuration = create_target_configuration()
    share_by_customer = {
        customer.name: 1 / (1 + number) ** 0.7
        for number, customer in enumerate(configuration.customers)
    }
    jobs = draw_jobs(rng, profiles, share_by_customer, 890, span_s)
    workload = Workload("target", shapes, configuration, jobs, span_s)
    _complete_workload(workload, rng, utilisation=0.85, waves=6)
    return workload


def create_target_configuration(count: int = 130) -> Configuration:
    """Return a configuration with a number of customers that have guarantees and quotas."""
    customers = [
        Customer(
            name=f"team{number}",
            guarantees=_create_target_guarantees(number),
            quota_accelerators=700 if number < 10 else 300,
        )
        for number in range(count)
    ]
    return Configuration(classes=CLASSES, customers=tuple(customers), failure_margin_vms=2)


def create_fleet(vms: int) -> list[WorkerShape]:
    """Return VMs in the proportions of the target size, 1,400 accelerators on 630 VMs."""
    shapes = []
    for number in range(vms):
        rack = number // 16
        domain = rack % 4
        accelerators = 8 if number % 9 == 0 else (0 if number % 9 in (4, 8) else 2)
        shapes.append(
            WorkerShape(
                worker_id=f"vm{number:04}",
                region=f"region{domain // 2}",
                failure_domain=f"domain{domain}",
                rack=f"rack{rack}",
                accelerators=accelerators,
                cores=64,
                memory_gb=256,
            )
        )
    return shapes


def create_small_jobs(count: int) -> list[WorkloadJob]:
    """Return equal small jobs that are submitted at once."""
    return [
        WorkloadJob(
            JobRequest(
                job_id=f"small{number}",
                customer=f"team{number % 10}",
                job_class="draw",
                tasks=1,
                accelerators_per_task=1,
                checkpointable=True,
            ),
            0.0,
            600.0,
        )
        for number in range(count)
    ]


def create_gangs(count: int) -> list[WorkloadJob]:
    """Return large gangs of different sizes."""
    return [
        WorkloadJob(
            JobRequest(
                job_id=f"gang{number}",
                customer=f"team{number}",
                job_class="nightly",
                tasks=8 + 4 * number,
                accelerators_per_task=2,
                checkpointable=True,
            ),
            0.0,
            3600.0,
        )
        for number in range(count)
    ]


def _create_small_workload(
    name: str,
    rng: random.Random,
    regions: list[tuple[str, int]],
    profiles: list[JobProfile],
    cores: int,
    memory_gb: int,
    jobs_per_day: float,
) -> Workload:
    region_by_vm = [each for region, count in regions for each in [region] * count]
    shapes = [
        WorkerShape(
            worker_id=f"vm{number:02}",
            region=region_by_vm[number],
            failure_domain=f"{region_by_vm[number]}-1",
            rack=f"rack{number // 3}",
            accelerators=8,
            cores=cores,
            memory_gb=memory_gb,
        )
        for number in range(11)
    ]
    customers = {"large": 0.45, "second": 0.3, "third": 0.15, "fourth": 0.1}
    guarantees = {
        "large": (_create_guarantee("urgent", 1, 4), _create_guarantee("forecast", 1, 8)),
        "second": (_create_guarantee("urgent", 1, 4),),
        "third": (_create_guarantee("urgent", 1, 2),),
        "fourth": (_create_guarantee("urgent", 1, 2),),
    }
    configuration = Configuration(
        classes=CLASSES,
        customers=tuple(
            Customer(name=customer, guarantees=guarantees[customer]) for customer in customers
        ),
        failure_margin_vms=1,
    )
    span_s = 10 * DAY_S
    jobs = draw_jobs(rng, profiles, customers, jobs_per_day, span_s)
    workload = Workload(name, shapes, configuration, jobs, span_s)
    _complete_workload(workload, rng, utilisation=0.75, waves=4)
    return workload


def _complete_workload(
    workload: Workload, rng: random.Random, utilisation: float, waves: int
) -> None:
    scale_run_times(workload, utilisation)
    per_day = OUTAGES_PER_WORKER_DAY * len(workload.shapes)
    workload.outages = draw_outages(rng, workload.shapes, workload.span_s, per_day)
    draw_cancellations(rng, workload, waves)
    workload.faulty_vm = (workload.shapes[-3].worker_id, workload.span_s / 2)
    workload.checkpoint_s_by_customer = {
        customer.name: rng.choice([0.4, 2.0, 10.0, 30.0])
        for customer in workload.configuration.customers
    }


def _create_target_guarantees(number: int) -> tuple[Guarantee, ...]:
    if number < 10:
        return (_create_guarantee("urgent", 4, 2), _create_guarantee("forecast", 4, 4))
    if number < 60:
        return (_create_guarantee("urgent", 2, 2),)
    return (_create_guarantee("urgent", 1, 1),)


def _create_guarantee(job_class: str, vms: int, accelerators: int) -> Guarantee:
    return Guarantee(job_class=job_class, vms=vms, accelerators_per_vm=accelerators)

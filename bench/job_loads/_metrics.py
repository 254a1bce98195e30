"""Metrics collected while a workload is simulated."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling import Scheduler
from briardeal_scheduling.fleet import CapacityIndex, groups_of

if TYPE_CHECKING:
    from bench.job_loads._simulator import Attempt, Policy
    from bench.job_loads._workload import Workload, WorkloadJob
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Placement


@attrs.frozen
class Usage:
    """Use of the accelerators between two events, during which it is constant.

    Parameters
    ----------
    accelerators_in_use, running_tasks
        Number of accelerators in use and of running tasks.
    idle_vm_accelerators
        Largest number of accelerators on idle VMs in one region.
    unusable_share
        Share of the free accelerators that the largest waiting gang can't use; `None` if no gang
        waits or no accelerator is free.
    """

    accelerators_in_use: int
    running_tasks: int
    idle_vm_accelerators: int
    unusable_share: float | None


@attrs.define
class WorkloadMetrics:
    """Completion times, fragmentation, lost work and guarantee violations of one simulation.

    Attributes
    ----------
    workload
        The simulated workload.
    end_s_by_job
        Completion time of each finished job, in seconds of virtual time.
    first_start_s_by_job
        Time of the first start of each job, in seconds of virtual time.
    guaranteed_urgent
        Urgent jobs that fitted into a guarantee of their customer at submission.
    rejected
        Jobs that the scheduler rejected.
    waiting
        Submitted jobs that are not running.
    active
        Submitted jobs that have not finished and were neither cancelled nor abandoned.
    shapes
        Shapes of the VMs that are up.
    used_by_vm
        Number of accelerators in use on each VM.
    placement_by_job
        Placements of the running attempts.
    free_capacity
        Free accelerators of the VMs that are up.
    remaining_jobs
        Number of jobs that are active or not yet submitted.
    now_s
        Virtual time up to which the metrics are integrated, in seconds.
    fragmented_s
        Integral of `Usage.unusable_share` over time.
    gang_wait_s
        Time during which a gang waited while accelerators were free.
    idle_vm_accelerator_s, task_s, accelerator_s
        Integrals of the idle accelerators, running tasks and accelerators in use over time.
    lost_accelerator_s
        Accelerator seconds of work lost by preemption.
    preemptions
        Number of preempted attempts.
    violations, checks
        Number of guarantee or capacity violations, and of checks of the guarantees.
    round_times_s
        Processor time of each scheduling round.
    usage
        Current use of the accelerators; `None` after a change until it is measured again.
    """

    workload: Workload
    end_s_by_job: dict[str, float] = attrs.field(factory=dict)
    first_start_s_by_job: dict[str, float] = attrs.field(factory=dict)
    guaranteed_urgent: set[str] = attrs.field(factory=set)
    rejected: set[str] = attrs.field(factory=set)
    waiting: dict[str, WorkloadJob] = attrs.field(factory=dict)
    active: dict[str, WorkloadJob] = attrs.field(factory=dict)
    shapes: dict[str, WorkerShape] = attrs.field(factory=dict)
    used_by_vm: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    placement_by_job: dict[str, Placement] = attrs.field(factory=dict)
    free_capacity: CapacityIndex = attrs.field(factory=CapacityIndex)
    remaining_jobs: int = 0
    now_s: float = 0.0
    fragmented_s: float = 0.0
    gang_wait_s: float = 0.0
    idle_vm_accelerator_s: float = 0.0
    task_s: float = 0.0
    accelerator_s: float = 0.0
    lost_accelerator_s: float = 0.0
    preemptions: int = 0
    violations: int = 0
    checks: int = 0
    round_times_s: list[float] = attrs.field(factory=list)
    usage: Usage | None = None

    def __attrs_post_init__(self) -> None:
        self.remaining_jobs = len(self.workload.jobs)

    def record_submission(self, job: WorkloadJob, rejected: bool, guaranteed: bool) -> None:
        """Record a submitted job and whether it was rejected or is urgent and guaranteed."""
        self.usage = None
        job_id = job.request.job_id
        if rejected:
            self.rejected.add(job_id)
            self.remaining_jobs -= 1
            return
        self.active[job_id] = job
        self.waiting[job_id] = job
        if guaranteed:
            self.guaranteed_urgent.add(job_id)

    def is_guaranteed_urgent(self, policy: Policy, request: JobRequest) -> bool:
        """Return whether a job is urgent and fits into a guarantee of its customer."""
        if not isinstance(policy, Scheduler) or request.job_class != "urgent":
            return False
        return policy.state.ledger.find_booking(request) is not None

    def is_active(self, job_id: str) -> bool:
        """Return whether a submitted job has not finished and was not removed."""
        return job_id in self.active

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has finished, was cancelled or was abandoned."""
        self.usage = None
        if self.active.pop(job_id, None):
            self.remaining_jobs -= 1
        self.waiting.pop(job_id, None)

    def record_completion(self, job_id: str, now_s: float) -> None:
        """Record a job that has run to completion."""
        self.end_s_by_job[job_id] = now_s
        self.remove_job(job_id)

    def record_start(self, job_id: str, placement: Placement, now_s: float) -> None:
        """Record the start of an attempt, and a violation if a VM is over its capacity."""
        self.usage = None
        self.first_start_s_by_job.setdefault(job_id, now_s)
        self.waiting.pop(job_id, None)
        self.placement_by_job[job_id] = placement
        for worker_id in placement.workers:
            self.used_by_vm[worker_id] += placement.accelerators
            if self.used_by_vm[worker_id] > self.shapes[worker_id].accelerators:
                self.violations += 1
            self._update_free_capacity(worker_id)

    def record_attempt_end(self, job_id: str, placement: Placement, now_s: float) -> None:
        """Record the end of an attempt."""
        self.usage = None
        del self.placement_by_job[job_id]
        if job_id in self.active:
            self.waiting[job_id] = self.active[job_id]
        for worker_id in placement.workers:
            self.used_by_vm[worker_id] -= placement.accelerators
            if worker_id in self.shapes:
                self._update_free_capacity(worker_id)

    def record_preemption(self, attempt: Attempt, lost_s: float) -> None:
        """Record a preempted attempt and the run time that it lost, in seconds."""
        self.preemptions += 1
        accelerators = len(attempt.placement.workers) * attempt.placement.accelerators
        self.lost_accelerator_s += lost_s * accelerators

    def add_vm(self, shape: WorkerShape) -> None:
        """Add a VM."""
        self.usage = None
        self.shapes[shape.worker_id] = shape
        self._update_free_capacity(shape.worker_id)

    def remove_vm(self, worker_id: str) -> None:
        """Remove a lost VM."""
        self.usage = None
        shape = self.shapes.pop(worker_id)
        self.free_capacity.remove(worker_id, list(groups_of(shape).values()))

    def advance(self, now_s: float) -> None:
        """Integrate the use of the accelerators up to a time, as long as jobs arrive."""
        step_s = min(now_s, self.workload.span_s) - min(self.now_s, self.workload.span_s)
        self.now_s = now_s
        if step_s <= 0:
            return
        if self.usage is None:
            self.usage = self._measure_usage()
        self.accelerator_s += step_s * self.usage.accelerators_in_use
        self.task_s += step_s * self.usage.running_tasks
        self.idle_vm_accelerator_s += step_s * self.usage.idle_vm_accelerators
        if self.usage.unusable_share is not None:
            self.gang_wait_s += step_s
            self.fragmented_s += step_s * self.usage.unusable_share

    def time_round(self, decide, now_s: float):
        """Return the decisions of a round and record its processor time."""
        began_s = time.process_time()
        decisions = decide(now_s)
        self.round_times_s.append(time.process_time() - began_s)
        return decisions

    def check_guarantees(self, scheduler: Scheduler) -> None:
        """Count the guarantees that preemption could not restore now.

        The running attempts are taken from the simulation, not from the state of the scheduler.
        """
        self.checks += 1
        ledger = scheduler.state.ledger
        guaranteed_jobs = ledger.guarantee_by_job
        free_by_vm = {worker_id: shape.accelerators for worker_id, shape in self.shapes.items()}
        for job_id, placement in self.placement_by_job.items():
            request = self.active[job_id].request
            if job_id not in guaranteed_jobs and not (
                request.idempotent and request.checkpointable
            ):
                for worker_id in placement.workers:
                    free_by_vm[worker_id] -= placement.accelerators
        reported = {(item.customer, item.job_class) for item in ledger.shortfalls()}
        for booking in ledger.bookings.values():
            guarantee = booking.guarantee
            for worker_id in booking.job_by_worker:
                free_by_vm[worker_id] -= guarantee.accelerators_per_vm
            groups = {
                groups_of(self.shapes[vm])[guarantee.adjacency] for vm in booking.job_by_worker
            }
            is_reported = (booking.key.customer, guarantee.job_class) in reported
            if len(groups) > 1 or (len(booking.job_by_worker) < guarantee.vms and not is_reported):
                self.violations += 1
        self.violations += sum(free < 0 for free in free_by_vm.values())

    def _measure_usage(self) -> Usage:
        free = sum(self.free_capacity.capacities.values())
        gang = self._largest_gang()
        return Usage(
            accelerators_in_use=sum(self.used_by_vm.values()),
            running_tasks=sum(
                len(placement.workers) for placement in self.placement_by_job.values()
            ),
            idle_vm_accelerators=self._count_idle_vm_accelerators(),
            unusable_share=(
                1 - self._count_usable(gang) / free if gang is not None and free else None
            ),
        )

    def _update_free_capacity(self, worker_id: str) -> None:
        shape = self.shapes[worker_id]
        free = shape.accelerators - self.used_by_vm[worker_id]
        self.free_capacity.set(worker_id, list(groups_of(shape).values()), free)

    def _largest_gang(self) -> JobRequest | None:
        gangs = [
            (request.tasks * request.accelerators_per_task, request.job_id, request)
            for request in (job.request for job in self.waiting.values())
            if request.tasks > 1 and request.accelerators_per_task
        ]
        return max(gangs)[2] if gangs else None

    def _count_usable(self, gang: JobRequest) -> int:
        """Return the number of free accelerators on VMs that the gang could start on."""
        usable = 0
        for group in self.free_capacity.groups_by_adjacency[gang.adjacency]:
            need = gang.accelerators_per_task
            if self.free_capacity.count(group, need) >= gang.tasks:
                usable += sum(
                    number * len(vms) for number, vms in self.free_capacity.ascending(group, need)
                )
        return usable

    def _count_idle_vm_accelerators(self) -> int:
        """Return the largest number of accelerators on idle VMs in one region."""
        idle_by_region: dict[str, int] = defaultdict(int)
        for worker_id, number in self.free_capacity.capacities.items():
            if number == self.shapes[worker_id].accelerators:
                idle_by_region[self.shapes[worker_id].region] += number
        return max(idle_by_region.values(), default=0)

"""What is measured while a load runs."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal_scheduling import Scheduler
from briardeal_scheduling.fleet import CapacityIndex, groups_of

if TYPE_CHECKING:
    from bench.job_loads._fake import Policy, Run
    from bench.job_loads._load import Load, LoadJob
    from briardeal_core.jobs import JobRequest, WorkerShape
    from briardeal_scheduling import Placement


@attrs.frozen
class Level:
    """What holds between two changes.

    Parameters
    ----------
    busy, tasks
        Accelerators in use, and tasks that run.
    whole_free
        Most accelerators of one region that stand on wholly free VMs.
    unusable
        Share of the free accelerators that the largest waiting gang can't use, if one waits.
    """

    busy: int
    tasks: int
    whole_free: int
    unusable: float | None


@attrs.define
class Account:
    """Times, free accelerators and losses of one run of a load.

    Attributes
    ----------
    ends
        When each job finished.
    first_starts
        When each job started first.
    round_s
        Processor time of each decision round.
    """

    load: Load
    ends: dict[str, float] = attrs.field(factory=dict)
    first_starts: dict[str, float] = attrs.field(factory=dict)
    covered_urgent: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    waiting: dict[str, LoadJob] = attrs.field(factory=dict)
    open: dict[str, LoadJob] = attrs.field(factory=dict)
    shapes: dict[str, WorkerShape] = attrs.field(factory=dict)
    used: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    running: dict[str, Placement] = attrs.field(factory=dict)
    free: CapacityIndex = attrs.field(factory=CapacityIndex)
    open_jobs: int = 0
    now_s: float = 0.0
    fragmented_s: float = 0.0
    gang_waits_s: float = 0.0
    whole_free_s: float = 0.0
    task_s: float = 0.0
    busy_s: float = 0.0
    lost_accelerator_s: float = 0.0
    preemptions: int = 0
    violations: int = 0
    checks: int = 0
    round_s: list[float] = attrs.field(factory=list)
    level: Level | None = None

    def __attrs_post_init__(self) -> None:
        self.open_jobs = len(self.load.jobs)

    def submitted(self, job: LoadJob, refused: bool, covered: bool) -> None:
        """Note a job that was submitted."""
        self.level = None
        job_id = job.request.job_id
        if refused:
            self.refused.add(job_id)
            self.open_jobs -= 1
            return
        self.open[job_id] = job
        self.waiting[job_id] = job
        if covered:
            self.covered_urgent.add(job_id)

    def covered(self, policy: Policy, request: JobRequest) -> bool:
        """Return whether a job is urgent and within a guarantee that holds."""
        if not isinstance(policy, Scheduler) or request.job_class != "urgent":
            return False
        return policy.state.ledger.find_booking(request) is not None

    def is_open(self, job_id: str) -> bool:
        """Return whether a job is neither over nor refused."""
        return job_id in self.open

    def closed(self, job_id: str) -> None:
        """Note a job that is over."""
        self.level = None
        if self.open.pop(job_id, None):
            self.open_jobs -= 1
        self.waiting.pop(job_id, None)

    def finished(self, job_id: str, now_s: float) -> None:
        """Note a job that has run to its end."""
        self.ends[job_id] = now_s
        self.closed(job_id)

    def started(self, job_id: str, placement: Placement, now_s: float) -> None:
        """Note a start."""
        self.level = None
        self.first_starts.setdefault(job_id, now_s)
        self.waiting.pop(job_id, None)
        self.running[job_id] = placement
        for worker_id in placement.workers:
            self.used[worker_id] += placement.accelerators
            if self.used[worker_id] > self.shapes[worker_id].accelerators:
                self.violations += 1
            self._refresh(worker_id)

    def stopped(self, job_id: str, placement: Placement, now_s: float) -> None:
        """Note the end of an attempt."""
        self.level = None
        del self.running[job_id]
        if job_id in self.open:
            self.waiting[job_id] = self.open[job_id]
        for worker_id in placement.workers:
            self.used[worker_id] -= placement.accelerators
            if worker_id in self.shapes:
                self._refresh(worker_id)

    def lost(self, run: Run, seconds: float) -> None:
        """Note work that a preemption lost."""
        self.preemptions += 1
        accelerators = len(run.placement.workers) * run.placement.accelerators
        self.lost_accelerator_s += seconds * accelerators

    def worker_up(self, shape: WorkerShape) -> None:
        """Note a VM."""
        self.level = None
        self.shapes[shape.worker_id] = shape
        self._refresh(shape.worker_id)

    def worker_down(self, worker_id: str) -> None:
        """Note the loss of a VM."""
        self.level = None
        shape = self.shapes.pop(worker_id)
        self.free.remove(worker_id, list(groups_of(shape).values()))

    def advance(self, now_s: float) -> None:
        """Add up what holds until now, while jobs arrive."""
        step_s = min(now_s, self.load.span_s) - min(self.now_s, self.load.span_s)
        self.now_s = now_s
        if step_s <= 0:
            return
        if self.level is None:
            self.level = self._measure_level()
        self.busy_s += step_s * self.level.busy
        self.task_s += step_s * self.level.tasks
        self.whole_free_s += step_s * self.level.whole_free
        if self.level.unusable is not None:
            self.gang_waits_s += step_s
            self.fragmented_s += step_s * self.level.unusable

    def timed(self, decide, now_s: float):
        """Return the decisions, and note the processor time that they took."""
        begin_s = time.process_time()
        decisions = decide(now_s)
        self.round_s.append(time.process_time() - begin_s)
        return decisions

    def check_guarantees(self, scheduler: Scheduler) -> None:
        """Count guarantees that could not be had back now, by what the fake itself runs."""
        self.checks += 1
        ledger = scheduler.state.ledger
        claimed = ledger.guarantee_by_job
        room = {worker_id: shape.accelerators for worker_id, shape in self.shapes.items()}
        for job_id, placement in self.running.items():
            request = self.open[job_id].request
            if job_id not in claimed and not (request.idempotent and request.checkpointable):
                for worker_id in placement.workers:
                    room[worker_id] -= placement.accelerators
        short = {(item.customer, item.job_class) for item in ledger.shortfalls()}
        for booking in ledger.bookings.values():
            guarantee = booking.guarantee
            for worker_id in booking.job_by_worker:
                room[worker_id] -= guarantee.accelerators_per_vm
            places = {
                groups_of(self.shapes[vm])[guarantee.adjacency] for vm in booking.job_by_worker
            }
            told = (booking.key.customer, guarantee.job_class) in short
            if len(places) > 1 or (len(booking.job_by_worker) < guarantee.vms and not told):
                self.violations += 1
        self.violations += sum(left < 0 for left in room.values())

    def _measure_level(self) -> Level:
        free = sum(self.free.capacities.values())
        gang = self._largest_gang()
        return Level(
            busy=sum(self.used.values()),
            tasks=sum(len(held.workers) for held in self.running.values()),
            whole_free=self._whole_free(),
            unusable=1 - self._usable(gang) / free if gang is not None and free else None,
        )

    def _refresh(self, worker_id: str) -> None:
        shape = self.shapes[worker_id]
        free = shape.accelerators - self.used[worker_id]
        self.free.set(worker_id, list(groups_of(shape).values()), free)

    def _largest_gang(self) -> JobRequest | None:
        gangs = [
            (request.tasks * request.accelerators_per_task, request.job_id, request)
            for request in (job.request for job in self.waiting.values())
            if request.tasks > 1 and request.accelerators_per_task
        ]
        return max(gangs)[2] if gangs else None

    def _usable(self, gang: JobRequest) -> int:
        """Return the free accelerators on VMs that the gang could start on."""
        usable = 0
        for group in self.free.groups_by_adjacency[gang.adjacency]:
            need = gang.accelerators_per_task
            if self.free.count(group, need) >= gang.tasks:
                usable += sum(number * len(vms) for number, vms in self.free.ascending(group, need))
        return usable

    def _whole_free(self) -> int:
        """Return the most accelerators of one region that stand on wholly free VMs."""
        by_region: dict[str, int] = defaultdict(int)
        for worker_id, number in self.free.capacities.items():
            if number == self.shapes[worker_id].accelerators:
                by_region[self.shapes[worker_id].region] += number
        return max(by_region.values(), default=0)

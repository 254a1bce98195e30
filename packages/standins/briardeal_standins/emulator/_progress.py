"""Checks that accepted jobs progress, from what workers and callers observe."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_standins.emulator._checker import (
    CANCEL_LIMIT_S,
    CONTACT_S,
    Invariant,
    Violation,
)
from briardeal_standins.emulator._worker import VmFault
from briardeal_workflow.model import TaskId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from briardeal_standins.emulator._checker import Checker
    from briardeal_standins.emulator._worker import StandinVm
    from briardeal_workflow.model import Job, Step

STAND_STILL_LIMIT_S = 3.0
"""Seconds for which a job may have nothing running while one of its tasks could run."""

SETTLE_S = 4.0
"""Seconds before that span that must be free of disturbances, too, for it to count."""

STOP_LIMIT_S = 0.5
"""Seconds that a stopped task may take to end."""

CAPACITY_MULTIPLE = 2
"""How many times the free capacity must hold a task, or a gang, for the task to count as runnable;
more than once, as capacity that is just enough may be needed for another job."""


@attrs.define(eq=False)
class StandStill:
    """Span in which a job had nothing running although one of its tasks could run.

    Parameters
    ----------
    job_id, task
        The job, and a task that could run.
    from_s, until_s
        Bounds of the span so far, on the loop's clock.
    used_share
        Share of the capacity in use when it was last seen, of the resource used most.
    counted
        Whether the span has been recorded as a violation.
    """

    job_id: str
    task: TaskId
    from_s: float
    until_s: float
    used_share: float = 0.0
    counted: bool = False

    @property
    def duration_s(self) -> float:
        """Length of the span so far."""
        return self.until_s - self.from_s


class ProgressCheck:
    """Finds accepted jobs that stand still, and cancelled ones that run on.

    A span counts only if it, and the `SETTLE_S` seconds before it, are free of disturbances.

    Parameters
    ----------
    checker
        Observations of callers and workers; receives the violations.

    Attributes
    ----------
    withdrawn
        IDs of the jobs whose cancellation callers have requested.
    completed
        IDs of the jobs that callers were shown as completed.
    disturbances
        Number of disturbances under way.
    calm_since_s
        When the latest disturbance ended, on the loop's clock.
    spans
        Current spans by job ID.
    violating
        Spans that have been recorded as violations.
    counted_s
        Seconds of checks in which a job that had stood still long enough would have counted.
    longest_calm_s
        Longest part of a span that was free of disturbances, and the settling time before it.
    """

    def __init__(self, checker: Checker) -> None:
        self.checker = checker
        self.withdrawn: set[str] = set()
        self.completed: set[str] = set()
        self.disturbances = 0
        self.calm_since_s = loop_time()
        self.spans: dict[str, StandStill] = {}
        self.violating: list[StandStill] = []
        self.counted_s = 0.0
        self.longest_calm_s = 0.0
        self._checked_s = loop_time()
        self._finished: set[str] = set()

    @property
    def calm_s(self) -> float:
        """Seconds since the latest disturbance ended; 0 during one."""
        return 0.0 if self.disturbances else loop_time() - self.calm_since_s

    @property
    def is_in_touch(self) -> bool:
        """Whether all processes count as in touch with each other and with the store."""
        return self.calm_s > CONTACT_S

    @contextlib.contextmanager
    def disturbed(self) -> Iterator[None]:
        """Mark the block as a disturbance of processes, the store or the configuration."""
        self.disturbances += 1
        try:
            yield
        finally:
            self.disturbances -= 1
            self.calm_since_s = loop_time()

    def check(self, vms: Collection[StandinVm]) -> None:
        """Check all jobs against the present state of all VMs that have not been removed."""
        now_s = loop_time()
        if self.calm_s >= SETTLE_S + STAND_STILL_LIMIT_S:
            self.counted_s += now_s - self._checked_s
        self._checked_s = now_s
        running = {task.job_id for vm in vms for task, _ in vm.attempts}
        self._check_cancelled(running)
        evacuated = self.checker.evacuated_s
        usable = [
            vm
            for vm in vms
            if vm.fault is VmFault.NONE
            and not vm.state.leaving
            and vm.state.failure_domain not in evacuated
        ]
        done = self.checker.done_tasks.union(*map(_unacknowledged, vms))
        used_share = _used_share(usable, self.checker.jobs)
        room = [_free_capacity(vm, self.checker.jobs) for vm in usable]
        finished = self._finished | self.completed
        for job_id in finished & self.spans.keys():
            del self.spans[job_id]
        for job_id in self.checker.accepted.keys() - finished:
            task = None
            if job_id not in running and job_id not in self.withdrawn:
                task = self._find_runnable(self.checker.jobs[job_id], done, room)
            if task is None:
                self.spans.pop(job_id, None)
            else:
                self._extend(job_id, task, used_share)

    def list_doubtful(self) -> list[str]:
        """Return the jobs that stand still unless an end was stored before its worker was lost.

        Only callers who query their states can tell.
        """
        return [
            job_id for job_id, span in self.spans.items() if span.task in self.checker.ended_done
        ]

    def _find_runnable(
        self, job: Job, done: Collection[TaskId], room: Collection[tuple[int, int, int]]
    ) -> TaskId | None:
        """Return a task of a job whose turn has come and for which there is capacity."""
        unfinished = [number for number in range(len(job.steps)) if not _is_done(job, number, done)]
        stored = self.checker.done_tasks
        if all(_is_done(job, number, stored) for number in range(len(job.steps))):
            self._finished.add(job.job_id)
            return None
        for number in unfinished:
            step = job.steps[number]
            needed = CAPACITY_MULTIPLE * (step.tasks if step.gang else 1)
            if not set(step.after) & set(unfinished) and _count_places(step, room) >= needed:
                tasks = [task for task in _tasks_of(job, number) if task not in done]
                return min(tasks, key=self.checker.ended_done.__contains__)
        return None

    def _extend(self, job_id: str, task: TaskId, used_share: float) -> None:
        now_s = loop_time()
        span = self.spans.setdefault(job_id, StandStill(job_id, task, now_s, now_s))
        span.task = task
        span.until_s, span.used_share = now_s, used_share
        calm_part_s = min(span.duration_s, self.calm_s - SETTLE_S)
        self.longest_calm_s = max(self.longest_calm_s, calm_part_s)
        if calm_part_s >= STAND_STILL_LIMIT_S and not span.counted:
            span.counted = True
            self.violating.append(span)
            self._add_violation(
                Invariant.JOBS_PROGRESS,
                f"{job_id} has nothing running for {span.duration_s:.2f} s, {task} could run, "
                f"{used_share:.0%} of the capacity is in use",
            )

    def _check_cancelled(self, running: Collection[str]) -> None:
        limit_s = CANCEL_LIMIT_S + STOP_LIMIT_S
        if self.calm_s < limit_s + CONTACT_S:
            return
        for job_id in running & self.checker.cancelled_s.keys() - self._finished:
            if loop_time() - self.checker.cancelled_s[job_id] > limit_s:
                self._finished.add(job_id)
                self._add_violation(
                    Invariant.STARTS_WANTED, f"{job_id} runs on after it was cancelled"
                )

    def _add_violation(self, invariant: Invariant, detail: str) -> None:
        self.checker.violations.append(Violation(invariant, loop_time(), detail))


def _unacknowledged(vm: StandinVm) -> set[TaskId]:
    """Return the tasks whose completion a worker lists; a worker that is down has lost its list."""
    if vm.fault is VmFault.DOWN:
        return set()
    return {task_end.task for task_end in vm.ended if task_end.end == "done"}


def _is_done(job: Job, number: int, done: Collection[TaskId]) -> bool:
    """Return whether a step is done; the end of one member of a gang stands for all."""
    tasks = _tasks_of(job, number)
    return any(map(done.__contains__, tasks)) if job.steps[number].gang else done.issuperset(tasks)


def _tasks_of(job: Job, number: int) -> list[TaskId]:
    return [TaskId(job.job_id, 0, number, index) for index in range(job.steps[number].tasks)]


def _used_capacity(vm: StandinVm, jobs: dict[str, Job]) -> tuple[int, int, int]:
    steps = [jobs[task.job_id].steps[task.step] for task, _ in vm.attempts]
    return (
        sum(0 if step.uses_spare_cpu else step.cpu_millis for step in steps),
        sum(step.memory_mb for step in steps),
        sum(step.accelerators for step in steps),
    )


def _capacity(vm: StandinVm) -> tuple[int, int, int]:
    return (vm.state.cpu_millis, vm.state.memory_mb, vm.state.accelerators)


def _free_capacity(vm: StandinVm, jobs: dict[str, Job]) -> tuple[int, int, int]:
    pairs = zip(_capacity(vm), _used_capacity(vm, jobs), strict=True)
    return tuple(total - used for total, used in pairs)


def _used_share(vms: Collection[StandinVm], jobs: dict[str, Job]) -> float:
    totals = [sum(amounts) for amounts in zip(*map(_capacity, vms), strict=True)]
    used = [sum(a) for a in zip(*(_used_capacity(vm, jobs) for vm in vms), strict=True)]
    return max((part / total for part, total in zip(used, totals, strict=True) if total), default=0)


def _count_places(step: Step, room: Collection[tuple[int, int, int]]) -> int:
    """Return how many tasks of a step the free capacity of all VMs holds."""
    requests = (step.cpu_millis, step.memory_mb, step.accelerators)
    return sum(
        min(
            (free // request for free, request in zip(each, requests, strict=True) if request),
            default=CAPACITY_MULTIPLE * step.tasks,
        )
        for each in room
    )

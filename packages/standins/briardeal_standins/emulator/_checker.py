"""Checks the promises from what workers and callers see, apart from the code that keeps them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.clock import loop_time
from briardeal_workflow.model import TaskGroupId, TaskId

if TYPE_CHECKING:
    from briardeal_standins.emulator._worker import StandinVm
    from briardeal_workflow.control import EndedTask
    from briardeal_workflow.model import Job

CANCEL_LIMIT_S = 3.0
"""Time after the answer to a cancellation from which nothing of the job may start."""


VISIBLE_LIMIT_S = 3.0
"""Time after the acceptance of a job from which every entry must know it."""


class Promise(enum.Enum):
    """What must always hold."""

    ONCE = "a task never runs twice at the same time, nor again after it is done"
    ORDER = "no step begins before the steps that it waits for are done"
    CAPACITY = "no VM runs more than it has room for"
    GANG = "no member of a gang waits for the others in vain"
    WANTED = "nothing of a cancelled or refused job starts"
    BUDGET = "no task starts after it has failed as often as it may"
    KEPT = "no accepted job is lost"
    STATE = "no job is shown as completed before all its tasks are done"


@attrs.frozen
class Violation:
    """A promise that was broken, when, and by what."""

    promise: Promise
    at_s: float
    detail: str


class Checker:
    """Collects breaches.

    Attributes
    ----------
    jobs
        Jobs that callers have sent, by name.
    accepted, refused
        Names of jobs by the answer to their callers.
    cancelled_s
        When the cancelling of a job was answered.
    done
        Tasks that ended done.
    first_start_s
        When the first task of a job began.
    done_s
        When the newest task of a job was done.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.accepted: dict[str, float] = {}
        self.refused: set[str] = set()
        self.cancelled_s: dict[str, float] = {}
        self.running: dict[TaskId, set[tuple[str, int]]] = {}
        self.done: set[TaskId] = set()
        self.failures: dict[TaskId, int] = {}
        self.failure_limit = 1000
        self.first_start_s: dict[str, float] = {}
        self.done_s: dict[str, float] = {}
        self.end_counts: dict[str, int] = {}
        self.start_count = 0
        self.violations: list[Violation] = []

    def note_begun(self, vm: StandinVm, task: TaskId, number: int) -> None:
        """Check a start."""
        self.start_count += 1
        self.first_start_s.setdefault(task.job_id, loop_time())
        where = f"{task} start {number} on {vm.vm_id}"
        if self.running.get(task) or task in self.done:
            self._note(Promise.ONCE, f"{where}, also {self.running.get(task)}")
        self.running.setdefault(task, set()).add((vm.vm_id, number))
        self._check_order(task, where)
        self._check_capacity(vm, where)
        cancelled_s = self.cancelled_s.get(task.job_id)
        late = cancelled_s is not None and loop_time() - cancelled_s > CANCEL_LIMIT_S
        if late or task.job_id in self.refused:
            self._note(Promise.WANTED, where)
        if self.failures.get(task, 0) >= self.failure_limit:
            self._note(Promise.BUDGET, where)

    def note_ended(self, vm: StandinVm, task: TaskId, number: int, how: str) -> None:
        """Take over an end."""
        self.end_counts[how] = self.end_counts.get(how, 0) + 1
        self.running.get(task, set()).discard((vm.vm_id, number))
        if how == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1
        if how == "alone":
            self._note(Promise.GANG, f"{task} start {number} on {vm.vm_id}")
        if how == "done":
            self.done_s[task.job_id] = loop_time()

    def note_kept(self, vm_id: str, ended: list[EndedTask], ends_kept: int) -> None:
        """Take note of the ends that a worker may forget."""
        for each in ended:
            if each.position <= ends_kept and each.end == "done":
                self.done.add(each.task)

    def note_state(self, job_id: str, state: str) -> None:
        """Check a state that a caller was told."""
        job = self.jobs[job_id]
        tasks = (
            TaskId(job_id, occurrence, number, index)
            for occurrence in range(job.occurrence_count)
            for number, step in enumerate(job.steps)
            for index in range(step.tasks)
        )
        if state == "completed" and any(self.running.get(task) for task in tasks):
            self._note(Promise.STATE, f"{job_id} has running tasks")

    def note_unknown(self, job_id: str) -> None:
        """Check that a caller may be told that a job is unknown."""
        if loop_time() - self.accepted.get(job_id, float("inf")) > VISIBLE_LIMIT_S:
            self._note(Promise.KEPT, job_id)

    def _check_order(self, task: TaskId, where: str) -> None:
        job = self.jobs.get(task.job_id)
        if job is None:
            self._note(Promise.WANTED, f"{where}, nobody sent it")
            return
        for earlier in job.steps[task.step].after:
            group = TaskGroupId(task.job_id, task.occurrence, earlier)
            for index in range(job.steps[earlier].tasks):
                if self.running.get(TaskId(*group, index)):
                    self._note(Promise.ORDER, f"{where}, step {earlier} still runs")

    def _check_capacity(self, vm: StandinVm, where: str) -> None:
        cpu = memory = accelerators = 0
        for task, _ in vm.attempts:
            step = self.jobs[task.job_id].steps[task.step]
            cpu += 0 if step.uses_spare_cpu else step.cpu_millis
            memory += step.memory_mb
            accelerators += step.accelerators
        state = vm.state
        if cpu > state.cpu_millis or memory > state.memory_mb or accelerators > state.accelerators:
            self._note(Promise.CAPACITY, where)

    def _note(self, promise: Promise, detail: str) -> None:
        self.violations.append(Violation(promise, loop_time(), detail))

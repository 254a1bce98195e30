"""Checks invariants from what workers and callers observe, independently of the code under test."""

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

EVACUATION_LIMIT_S = 5.0
"""Seconds after the store has the request to evacuate a domain from which no task starts there."""

EVACUATION_STRETCH_S = 6.0
"""Seconds by which disturbances of real processes and of the store may extend that limit."""

CANCEL_LIMIT_S = 3.0
"""Seconds after the answer to a cancellation from which no task of the job may start."""

VISIBLE_LIMIT_S = 3.0
"""Seconds after the acceptance of a job from which every entry must know it."""


SHRINK_LIMIT_S = 6.5
"""Seconds after which a reduced capacity binds: the time in which a VM counts as in touch, and one
announcement."""

CONTACT_S = 3.0
"""Seconds for which a disruption that separates the members of a gang still excuses their wait."""

CRASH_LIMIT = 3
"""Number of workers crashed by a task from which its further starts are counted."""

STARTS_AFTER_CRASHES = 3
"""Number of starts after that limit by which the task must have been given up."""

CRASHES_TO_FAIL = 2
"""Number of workers that a task must have crashed before its job may be reported as failed."""


class Invariant(enum.Enum):
    """Invariants of a deployment."""

    SINGLE_RUN = "no task runs twice at the same time or again after it is done"
    STEP_ORDER = "no step starts before the steps that it depends on are done"
    CAPACITY = "no VM runs more tasks than its capacity allows"
    GANG_COMPLETE = "no member of a gang times out waiting for the other members"
    STARTS_WANTED = "no task of a cancelled, refused or unknown job starts"
    FAILURE_LIMIT = "no task starts after it has reached its failure limit"
    CRASH_LIMIT = "no task starts three times more after it has crashed three workers"
    JOBS_STORED = "no accepted job is lost"
    JOBS_PROGRESS = "no accepted job has nothing running for 3 s while one of its tasks could run"
    COMPLETED_STATE = "no job is reported as completed while one of its tasks runs"
    FAILED_STATE = "no job is reported as failed before a task has reached its limit"
    EVACUATED = "no task starts in an evacuated failure domain"
    CONFIGURATION = "no owner plans by an older configuration than the one in force"


@attrs.frozen
class Violation:
    """Violation of an invariant, with its time and what caused it."""

    invariant: Invariant
    at_s: float
    detail: str


class Checker:
    """Records what workers and callers observe, and collects violations of invariants.

    Attributes
    ----------
    jobs
        Submitted jobs by id.
    accepted
        When each accepted job was first answered, on the loop's clock.
    refused
        IDs of the jobs of which all calls to submit them have been rejected.
    uncertain
        IDs of the jobs of which a call to submit them had an unknown outcome.
    cancelled_s
        When the cancellation of each job was first answered, on the loop's clock.
    running
        VM and number of the running attempts of each task.
    done_tasks
        Tasks whose completion has been stored.
    ended_done
        Tasks that have ended as done on a worker, whether that was stored or not.
    failures
        Number of failed attempts of each task.
    crashes, starts_after_crashes
        Number of workers that each task has crashed, and number of its starts after it had crashed
        `CRASH_LIMIT` of them.
    failure_limit
        Number of failed attempts after which a task may not start again.
    failure_limits
        Failed attempts after which a task and its job fail, by queue.
    first_start_s
        When the first task of each job started, on the loop's clock.
    done_s
        When the latest task of each job was done, on the loop's clock.
    end_counts
        Number of ended attempts by outcome.
    start_count
        Number of started attempts.
    gangs_disturbed_until_s
        Until when a member of a gang may time out, as its others may be unreachable, on the loop's
        clock.
    started_s
        When the attempts of each task started, on the loop's clock.
    ended_s
        When each attempt ended, by VM, task and number, on the loop's clock.
    stored_failures_s
        When the failed attempts of each task ended whose ends have been stored.
    evacuated_s
        Since when the store has the request to evacuate each domain, on the loop's clock.
    evacuated_starts_s
        Time of each start in an evacuated domain, in seconds after the store had the request.
    evacuations_disturbed_until_s
        Until when starts in evacuated domains may be later, on the loop's clock.
    violations
        Violations found so far.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.accepted: dict[str, float] = {}
        self.refused: set[str] = set()
        self.uncertain: set[str] = set()
        self.cancelled_s: dict[str, float] = {}
        self.running: dict[TaskId, set[tuple[str, int]]] = {}
        self.done_tasks: set[TaskId] = set()
        self.ended_done: set[TaskId] = set()
        self.failures: dict[TaskId, int] = {}
        self.crashes: dict[TaskId, int] = {}
        self.starts_after_crashes: dict[TaskId, int] = {}
        self.failure_limit = 1000
        self.failure_limits: dict[str, int] = {}
        self.first_start_s: dict[str, float] = {}
        self.done_s: dict[str, float] = {}
        self.end_counts: dict[str, int] = {}
        self.start_count = 0
        self.gangs_disturbed_until_s = float("-inf")
        self.started_s: dict[TaskId, list[float]] = {}
        self.ended_s: dict[tuple[str, TaskId, int], float] = {}
        self.stored_failures_s: dict[TaskId, list[float]] = {}
        self.evacuated_s: dict[str, float] = {}
        self.evacuated_starts_s: list[float] = []
        self.evacuations_disturbed_until_s = float("-inf")
        self.violations: list[Violation] = []

    def record_refusal(self, job_id: str) -> None:
        """Record that a call to submit a job was rejected as not run.

        The job is refused if all calls were rejected: a call without an answer may have stored it.
        """
        if job_id in self.accepted or job_id in self.uncertain:
            return
        self.refused.add(job_id)
        if job_id in self.first_start_s:
            self._add_violation(Invariant.STARTS_WANTED, f"{job_id} had started when refused")

    def record_start(self, vm: StandinVm, task: TaskId, number: int) -> None:
        """Record the start of an attempt and check that it was allowed."""
        self.start_count += 1
        self.first_start_s.setdefault(task.job_id, loop_time())
        attempt = f"{task} attempt {number} on {vm.vm_id}"
        if self.running.get(task) or task in self.done_tasks:
            self._add_violation(
                Invariant.SINGLE_RUN, f"{attempt}, also running as {self.running.get(task)}"
            )
        self.running.setdefault(task, set()).add((vm.vm_id, number))
        self.started_s.setdefault(task, []).append(loop_time())
        self._check_stored_failures(task)
        self._check_order(task, attempt)
        self._check_capacity(vm, attempt)
        self._check_evacuation(vm, attempt)
        cancelled_s = self.cancelled_s.get(task.job_id)
        late = cancelled_s is not None and loop_time() - cancelled_s > CANCEL_LIMIT_S
        if late or task.job_id in self.refused:
            self._add_violation(Invariant.STARTS_WANTED, attempt)
        if self.failures.get(task, 0) >= self.failure_limit:
            self._add_violation(Invariant.FAILURE_LIMIT, attempt)
        if self.crashes.get(task, 0) >= CRASH_LIMIT:
            self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
            if self.starts_after_crashes[task] >= STARTS_AFTER_CRASHES:
                self._add_violation(Invariant.CRASH_LIMIT, attempt)

    def record_evacuation(self, domain: str) -> None:
        """Record that the store has the request to evacuate a failure domain."""
        self.evacuated_s.setdefault(domain, loop_time())

    def record_return(self, domain: str) -> None:
        """Record that a failure domain is taken back into use."""
        self.evacuated_s.pop(domain, None)

    def record_crash(self, task: TaskId) -> None:
        """Record that a task has crashed its worker."""
        self.crashes[task] = self.crashes.get(task, 0) + 1

    def excuse_gangs(self, for_s: float) -> None:
        """Record a disruption that may keep the members of a gang apart for some seconds."""
        until_s = loop_time() + for_s + CONTACT_S
        self.gangs_disturbed_until_s = max(self.gangs_disturbed_until_s, until_s)

    def record_end(self, vm: StandinVm, task: TaskId, number: int, end: str) -> None:
        """Record the end of an attempt."""
        self.end_counts[end] = self.end_counts.get(end, 0) + 1
        self.running.get(task, set()).discard((vm.vm_id, number))
        self.ended_s[vm.vm_id, task, number] = loop_time()
        if end == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1
        if end == "alone" and loop_time() > self.gangs_disturbed_until_s:
            self._add_violation(Invariant.GANG_COMPLETE, f"{task} attempt {number} on {vm.vm_id}")
        if end == "done":
            self.ended_done.add(task)
            self.done_s[task.job_id] = loop_time()

    def record_stored_ends(
        self, vm_id: str, ended: list[EndedTask], stored_position: int, lapsed_position: int = 0
    ) -> None:
        """Record the ends that the owner has stored, and check the starts after them.

        Starts after ends up to `lapsed_position` are allowed, as the lease has lapsed since.
        """
        for task_end in ended:
            task, position = task_end.task, task_end.position
            if position > stored_position:
                continue
            if task_end.end == "done":
                self.done_tasks.add(task)
            if position <= lapsed_position:
                continue
            ended_s = self.ended_s[vm_id, task, task_end.number]
            if task_end.end == "done" and self.started_s[task][-1] > ended_s:
                detail = f"{task} was started after its end on {vm_id}, stored now"
                self._add_violation(Invariant.SINGLE_RUN, detail)
            if task_end.end == "failed":
                self.stored_failures_s.setdefault(task, []).append(ended_s)
                self._check_stored_failures(task)

    def check_state(self, job_id: str, state: str) -> None:
        """Check a state of a job that a caller was shown."""
        job = self.jobs[job_id]
        tasks = (
            TaskId(job_id, occurrence, number, index)
            for occurrence in range(job.occurrence_count)
            for number, step in enumerate(job.steps)
            for index in range(step.tasks)
        )
        if state == "completed" and any(self.running.get(task) for task in tasks):
            self._add_violation(Invariant.COMPLETED_STATE, f"{job_id} has running tasks")
        failed_too_often = self._failure_count(job) >= self.failure_limits[job.queue]
        if state == "failed" and not failed_too_often and not self._crashes_workers(job_id):
            self._add_violation(Invariant.FAILED_STATE, f"{job_id} failed too early")

    def check_configuration(self, owner: str, planned: int, in_force: int) -> None:
        """Check the version by which an owner plans against the one in force in its entry."""
        if planned < in_force:
            detail = f"{owner} plans by version {planned}, {in_force} is in force"
            self._add_violation(Invariant.CONFIGURATION, detail)

    def check_unknown(self, job_id: str) -> None:
        """Check that an entry may still report a job as unknown."""
        if loop_time() - self.accepted.get(job_id, float("inf")) > VISIBLE_LIMIT_S:
            self._add_violation(Invariant.JOBS_STORED, job_id)

    def _check_stored_failures(self, task: TaskId) -> None:
        """Check that a task has not started after as many stored failures as its queue allows."""
        job = self.jobs.get(task.job_id)
        failed_s = sorted(self.stored_failures_s.get(task, ()))
        if not failed_s or job is None or job.steps[task.step].long_running:
            return
        limit = self.failure_limits[job.queue]
        if len(failed_s) >= limit and self.started_s[task][-1] > failed_s[limit - 1]:
            detail = f"{task} was started after {limit} failures that are stored"
            self._add_violation(Invariant.FAILURE_LIMIT, detail)

    def _failure_count(self, job: Job) -> int:
        """Return the number of failed attempts of the task, or gang, that failed most often."""
        counts: dict[tuple[object, ...], int] = {}
        for task, count in self.failures.items():
            if task.job_id == job.job_id:
                key = task.group if job.steps[task.step].gang else task
                counts[key] = counts.get(key, 0) + count
        return max(counts.values(), default=0)

    def _crashes_workers(self, job_id: str) -> bool:
        """Return whether a task of a job has crashed enough workers for the job to fail."""
        return any(
            task.job_id == job_id and count >= CRASHES_TO_FAIL
            for task, count in self.crashes.items()
        )

    def _check_order(self, task: TaskId, attempt: str) -> None:
        job = self.jobs.get(task.job_id)
        if job is None:
            self._add_violation(Invariant.STARTS_WANTED, f"{attempt}, the job was never submitted")
            return
        for earlier in job.steps[task.step].after:
            group = TaskGroupId(task.job_id, task.occurrence, earlier)
            tasks = {TaskId(*group, index) for index in range(job.steps[earlier].tasks)}
            is_gang = job.steps[earlier].gang
            if tasks.isdisjoint(self.ended_done) if is_gang else tasks - self.ended_done:
                self._add_violation(Invariant.STEP_ORDER, f"{attempt}, step {earlier} is not done")

    def _check_capacity(self, vm: StandinVm, attempt: str) -> None:
        cpu = memory = accelerators = 0
        for task, _ in vm.attempts:
            step = self.jobs[task.job_id].steps[task.step]
            cpu += 0 if step.uses_spare_cpu else step.cpu_millis
            memory += step.memory_mb
            accelerators += step.accelerators
        recent = [
            state for until_s, state in vm.earlier_states if loop_time() - until_s < SHRINK_LIMIT_S
        ]
        if not any(
            cpu <= state.cpu_millis
            and memory <= state.memory_mb
            and accelerators <= state.accelerators
            for state in (vm.state, *recent)
        ):
            self._add_violation(Invariant.CAPACITY, attempt)

    def _check_evacuation(self, vm: StandinVm, attempt: str) -> None:
        """Check a start against the evacuations; orders that the worker has delayed don't count."""
        since_s = self.evacuated_s.get(vm.state.failure_domain)
        if since_s is None or vm.executes_late_order:
            return
        late_s = loop_time() - since_s
        self.evacuated_starts_s.append(late_s)
        disturbed = loop_time() <= self.evacuations_disturbed_until_s
        if late_s > EVACUATION_LIMIT_S + (EVACUATION_STRETCH_S if disturbed else 0.0):
            self._add_violation(Invariant.EVACUATED, f"{attempt}, {late_s:.2f} s after the request")

    def _add_violation(self, invariant: Invariant, detail: str) -> None:
        self.violations.append(Violation(invariant, loop_time(), detail))

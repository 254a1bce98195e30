"""Active jobs and the state of their tasks."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.job_table import Progress, progress_key
from briardeal_workflow.model import TaskGroupId, TaskId
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._crash_record import CrashRecord, CrashWeight, TaskCrash
from briardeal_workflow.planning._vms import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.model import Job, Queue, Step
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._claims import Claim


class WaitCause(enum.StrEnum):
    """What the tasks of a group wait for."""

    TAKEOVER = "tasks of an earlier owner might still run"
    CAPACITY = "no capacity was free"
    RESERVED = "free capacity was reserved for more urgent work"
    NO_VICTIMS = "no capacity was free, and other work could not be stopped"
    COSTS_MORE = "making room would have cost more work than it brought"
    ISOLATION = "its workers crashed, and no VM without other work was free"
    VERDICT = "its workers crashed, and reports of other crashes may still arrive"


@attrs.define
class PreemptionHistory:
    """Earlier preemptions of a task.

    Attributes
    ----------
    count
        Number of preemptions.
    lost_core_s
        Work lost by them, in core-seconds.
    """

    count: int = 0
    lost_core_s: float = 0.0


ISOLATION_WAIT_S = 3.0
"""Time after a crash for which its suspects wait for a VM without other work."""

READY_PERCENT = 100
"""Percentage that a long-running task reports once its startup is complete."""


@attrs.define(eq=False)
class TaskGroup:
    """Tasks of one occurrence of one step.

    Attributes
    ----------
    group_id, step, task_resources
        Identity of the group, its step, and the resources of each task.
    done
        Indices of completed tasks.
    failures
        Number of failed attempts by task index; a gang counts all of them under index 0.
    attempts
        Attempts that have not ended, by task index.
    checkpoints
        Newest checkpoint by task index; a gang stores its checkpoint under index 0.
    attempt_numbers
        Number of the newest attempt by task index.
    failed_vms
        VMs on which a task failed, by task index.
    claims
        Claims on VMs on which tasks start as soon as capacity is free, by task index.
    ready_s
        When the group became ready to start; `None` before.
    failed_numbers
        Numbers of the failed attempts by task index, so that no failure counts twice.
    takeover_pending
        Whether tasks that an earlier owner started may run without having been reported.
    preemption_due_s
        From when the group may preempt others; `None` until its tasks first have to wait.
    preempted_core_s
        Work of other jobs lost so far by preemptions for this group, in core-seconds.
    reserved_until_s
        Until when VMs without enough free capacity are reserved for the group.
    preemptions
        Earlier preemptions by task index.
    crash_records
        Worker crashes that are counted, or may be, by task index.
    wait_cause
        What the unplaced tasks waited for when that was last logged; `None` if none wait.
    """

    group_id: TaskGroupId
    step: Step
    task_resources: Resources
    done: set[int] = attrs.field(factory=set)
    failures: dict[int, int] = attrs.field(factory=dict)
    attempts: dict[int, list[Attempt]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    attempt_numbers: dict[int, int] = attrs.field(factory=dict)
    failed_vms: dict[int, set[str]] = attrs.field(factory=dict)
    claims: dict[int, Claim] = attrs.field(factory=dict)
    ready_s: float | None = None
    failed_numbers: dict[int, set[int]] = attrs.field(factory=dict)
    takeover_pending: bool = False
    preemption_due_s: float | None = None
    preempted_core_s: float = 0.0
    reserved_until_s: float = float("-inf")
    preemptions: dict[int, PreemptionHistory] = attrs.field(factory=dict)
    crash_records: dict[int, CrashRecord] = attrs.field(factory=dict)
    wait_cause: WaitCause | None = None

    @property
    def complete(self) -> bool:
        """Whether all tasks are completed."""
        return len(self.done) == self.step.tasks

    @property
    def failure_count(self) -> int:
        """Number of failed attempts of the task that failed most often."""
        return max(self.failures.values(), default=0)

    @property
    def work_left_core_s(self) -> float:
        """Declared work of the tasks that are not completed, in core-seconds."""
        left = self.step.tasks - len(self.done)
        return left * self.step.estimate_s * self.task_resources.core_equivalents

    def recorded_index(self, index: int) -> int:
        """Return the index under which failures and checkpoints of a task are recorded."""
        return 0 if self.step.gang else index

    def earlier_lost_core_s(self, index: int) -> float:
        """Return the work that earlier preemptions of a task lost, in core-seconds."""
        history = self.preemptions.get(index)
        return 0.0 if history is None else history.lost_core_s

    def unplaced_indices(self) -> list[int]:
        """Return the tasks that are not completed, have no attempt, and have claimed no VM."""
        return [
            index
            for index in range(self.step.tasks)
            if index not in self.done and not self.attempts.get(index) and index not in self.claims
        ]

    def indices_to_place(self) -> list[int]:
        """Return the tasks that wait for VMs; those of a gang only while no member has an attempt.

        Members of a gang that have claimed VMs keep them while the others are placed.
        """
        unplaced = self.unplaced_indices()
        if self.step.gang and len(unplaced) + len(self.claims) < self.step.tasks:
            return []
        return unplaced

    def is_suspect(self, index: int) -> bool:
        """Return whether a task may crash the worker that starts it."""
        record = self.crash_records.get(index)
        return record is not None and record.suspect

    def needs_isolation(self, index: int, now_s: float) -> bool:
        """Return whether a task may start only where no other job runs."""
        record = self.crash_records.get(index)
        waits = record is not None and now_s - record.newest_s < ISOLATION_WAIT_S
        return waits and record.suspect

    def awaits_verdict(self, index: int) -> bool:
        """Return whether a task may have to be given up because of its newest crashes."""
        record = self.crash_records.get(index)
        return record is not None and record.awaits_verdict

    def may_disrupt(self) -> bool:
        """Return whether the disruption budget allows stopping one of the tasks now."""
        step = self.step
        if not step.long_running or not step.disruption_budget:
            return True
        ready_tasks = sum(
            any(
                each.phase is AttemptPhase.RUNNING and each.percent >= READY_PERCENT
                for each in attempts
            )
            for attempts in self.attempts.values()
        )
        return step.tasks - ready_tasks < step.disruption_budget

    def active_attempts(self) -> Iterator[Attempt]:
        """Return the attempts that have not ended."""
        for attempts in self.attempts.values():
            yield from attempts

    def task_id(self, index: int) -> TaskId:
        """Return the ID of a task of the group."""
        return TaskId(*self.group_id, index)


@attrs.define(eq=False)
class ActiveJob:
    """A job that has not finished, or still has attempts.

    Attributes
    ----------
    job, queue
        Submitted job, and the queue that it belongs to.
    groups
        Task groups by occurrence and step.
    started
        Whether any task has started.
    state
        `completed` or `failed` once that is the outcome of the job; empty before.
    cancelled
        Whether the caller has cancelled the job.
    added_s
        When this process added the job, on the event loop's clock.
    ended_s
        When the job completed or failed, on the event loop's clock; `None` before, and for a
        cancelled job.
    early_failure_vms
        VMs on which a task of the job failed right after its start.
    passed_over
        Number of tasks that jobs of its class, accepted later, have started while its own waited.
    """

    job: Job
    queue: Queue
    groups: dict[TaskGroupId, TaskGroup]
    started: bool = False
    state: str = ""
    cancelled: bool = False
    added_s: float = 0.0
    ended_s: float | None = None
    early_failure_vms: set[str] = attrs.field(factory=set)
    passed_over: int = 0

    @classmethod
    def from_progress(cls, job: Job, queue: Queue, progress: Progress, now_s: float) -> ActiveJob:
        """Return a job with its saved progress restored."""
        groups = {}
        for occurrence in range(job.occurrence_count):
            for number, step in enumerate(job.steps):
                group_id = TaskGroupId(job.job_id, occurrence, number)
                groups[group_id] = TaskGroup(group_id, step, Resources.of_task(step))
        active_job = cls(job, queue, groups, progress.started, progress.state, added_s=now_s)
        active_job._restore(progress)
        return active_job

    @property
    def finished(self) -> bool:
        """Whether no task of the job may start any more."""
        return self.cancelled or bool(self.state)

    @property
    def waits(self) -> bool:
        """Whether tasks of the job have waited for long enough to be logged."""
        return any(group.wait_cause is not None for group in self.groups.values())

    @property
    def preemption_count(self) -> int:
        """Number of preemptions of its tasks, without those completed under earlier owners."""
        return sum(
            history.count
            for group in self.groups.values()
            for history in group.preemptions.values()
        )

    @property
    def first_step_accelerators(self) -> int:
        """Number of accelerators that all tasks of the first step need."""
        return self.job.steps[0].tasks * self.job.steps[0].accelerators

    def progress(self) -> Progress:
        """Return the progress to save."""
        open_groups = [group for group in self.groups.values() if not group.complete]
        return Progress(
            started=self.started,
            state=self.state,
            done=tuple(
                (*group.group_id[1:], index)
                for group in self.groups.values()
                for index in sorted(group.done)
            ),
            failures=tuple(
                (*group.group_id[1:], index, count, max(group.failed_numbers[index]))
                for group in open_groups
                for index, count in group.failures.items()
            ),
            failed_numbers=tuple(
                (*group.group_id[1:], index, tuple(sorted(numbers)))
                for group in open_groups
                for index, numbers in group.failed_numbers.items()
            ),
            checkpoints=tuple(
                (*group.group_id[1:], index, checkpoint)
                for group in open_groups
                for index, checkpoint in group.checkpoints.items()
            ),
            preemptions=tuple(
                (*group.group_id[1:], index, history.count, round(history.lost_core_s))
                for group in open_groups
                for index, history in group.preemptions.items()
                if index not in group.done
            ),
            crashes=tuple(row for group in open_groups for row in _crash_rows(group)),
        )

    def ready_groups(self, wall_s: float, now_s: float) -> Iterator[TaskGroup]:
        """Return the incomplete groups that are due and whose preceding steps are complete."""
        for group in self.groups.values():
            if group.complete or self.job.due_s(group.group_id.occurrence) > wall_s:
                continue
            earlier = (
                self.groups[TaskGroupId(self.job.job_id, group.group_id.occurrence, step)]
                for step in group.step.after
            )
            if all(each.complete for each in earlier):
                group.ready_s = now_s if group.ready_s is None else group.ready_s
                yield group

    def critical_path_s(self) -> float:
        """Return the declared run time of the longest chain of steps, in seconds."""
        return max(self._step_end_times_s())

    def work_left_core_s(self) -> float:
        """Return the declared work of all tasks that are not completed, in core-seconds."""
        return sum(group.work_left_core_s for group in self.groups.values())

    def due_in_s(self, wall_s: float) -> float:
        """Return the time until the job should complete, in seconds; negative once it is late."""
        return self.job.accepted_s + self.objective_s() - wall_s

    def objective_s(self) -> float:
        """Return the time within which the job should complete, in seconds after its acceptance."""
        return self.queue.stretch_limit * self.critical_path_s() + self.queue.latency_target_s

    def slack_s(self, group: TaskGroup, wall_s: float) -> float:
        """Return how long a new attempt may be delayed for the job to be in time, in seconds."""
        base_s = max(self.job.accepted_s, self.job.due_s(group.group_id.occurrence))
        ends = self._step_end_times_s()
        before_s = ends[group.group_id.step] - group.step.estimate_s
        return base_s + self.objective_s() - wall_s - (max(ends) - before_s)

    def _restore(self, progress: Progress) -> None:
        for task in progress.done_tasks(self.job.job_id):
            if (group := self._find_recorded_group(task.occurrence, task.step)) is not None:
                group.done.add(task.index)
        # Earlier versions stored only the number of the newest failed attempt.
        failed_numbers = {tuple(place): numbers for *place, numbers in progress.failed_numbers}
        for occurrence, step, index, count, number in progress.failures:
            if (group := self._find_recorded_group(occurrence, step)) is not None:
                group.failures[index] = count
                numbers = failed_numbers.get((occurrence, step, index), (number,))
                group.failed_numbers[index] = set(numbers)
        for occurrence, step, index, checkpoint in progress.checkpoints:
            if (group := self._find_recorded_group(occurrence, step)) is not None:
                group.checkpoints[index] = checkpoint
        for occurrence, step, index, count, lost_core_s in progress.preemptions:
            if (group := self._find_recorded_group(occurrence, step)) is not None:
                group.preemptions[index] = PreemptionHistory(count, lost_core_s)
        self._restore_crashes(progress)

    def _restore_crashes(self, progress: Progress) -> None:
        for occurrence, step, index, number, *crash in progress.crashes:
            if (group := self._find_recorded_group(occurrence, step)) is not None:
                vm_id, ran_s, primary, weight = crash
                record = group.crash_records.setdefault(index, CrashRecord(newest_s=self.added_s))
                record.counted[number] = TaskCrash(vm_id, ran_s, primary, CrashWeight(weight))

    def _find_recorded_group(self, occurrence: int, step: int) -> TaskGroup | None:
        """Return a group that stored progress names; `None`, with a log line, if there is none."""
        group = self.groups.get(TaskGroupId(self.job.job_id, occurrence, step))
        if group is None:
            log_event(
                Event.RECORD_BROKEN,
                key=progress_key(self.job.job_id),
                detail=f"the job has no step {step} of occurrence {occurrence}",
            )
        return group

    def _step_end_times_s(self) -> list[float]:
        """Return when each step ends by the declared run times, in seconds after the job begins."""
        ends: list[float] = []
        for step in self.job.steps:
            start_s = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(start_s + step.estimate_s)
        return ends

    def next_due_s(self, wall_s: float) -> float | None:
        """Return when the next occurrence is due, in seconds since 1970."""
        later = (self.job.due_s(number) for number in range(self.job.occurrence_count))
        return min((due_s for due_s in later if due_s > wall_s), default=None)


def _crash_rows(group: TaskGroup) -> Iterator[tuple[int, int, int, int, str, float, bool, int]]:
    """Return the crashes that count against incomplete tasks, as `Progress` stores them."""
    for index, record in group.crash_records.items():
        if index in group.done:
            continue
        for number, crash in record.counted.items():
            place = (*group.group_id[1:], index, number)
            yield *place, crash.vm_id, round(crash.ran_s, 3), crash.primary, int(crash.weight)

"""Jobs that are not over, with the state of their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.book import Progress
from briardeal_workflow.model import GroupId, TaskId
from briardeal_workflow.planning._attempts import AttemptPhase
from briardeal_workflow.planning._vms import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.model import Job, Queue, Step
    from briardeal_workflow.planning._attempts import Attempt


READY_PERCENT = 100
"""Percentage that a lasting task tells once it is past its startup."""


@attrs.define(eq=False)
class Group:
    """One occurrence of one step.

    Attributes
    ----------
    group_id, step, task_resources
        What it is, and what each of its tasks takes.
    done
        Tasks that are done, by index.
    failures
        Failed runs by index; those of a gang all count under index 0.
    attempts
        TaskStarter that are not over, by index.
    checkpoints
        Newest checkpoint by index; that of a gang under index 0.
    attempt_numbers
        Number of the newest start by index.
    failed_vms
        VMs on which a task failed, by index.
    claimed_vms
        VMs that tasks will start on once there is room, by index.
    ready_s
        When its turn came; `None` before.
    last_failed_numbers
        Newest start that counts as failed, by index, so that no failure counts twice.
    unsettled
        Whether tasks of it may run where no agent has told yet.
    preempted_core_s
        Work that was lost so far to make room for it, in seconds times cores.
    reserved_until_s
        Until when VMs are kept for it that have no room yet.
    """

    group_id: GroupId
    step: Step
    task_resources: Resources
    done: set[int] = attrs.field(factory=set)
    failures: dict[int, int] = attrs.field(factory=dict)
    attempts: dict[int, list[Attempt]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    attempt_numbers: dict[int, int] = attrs.field(factory=dict)
    failed_vms: dict[int, set[str]] = attrs.field(factory=dict)
    claimed_vms: dict[int, str] = attrs.field(factory=dict)
    ready_s: float | None = None
    last_failed_numbers: dict[int, int] = attrs.field(factory=dict)
    takeover_pending: bool = False
    preempted_core_s: float = 0.0
    reserved_until_s: float = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether all its tasks are done."""
        return len(self.done) == self.step.tasks

    @property
    def failure_count(self) -> int:
        """Failed runs of the task that failed most often."""
        return max(self.failures.values(), default=0)

    def record_index(self, index: int) -> int:
        """Return the index under which failures and checkpoints of a task are kept."""
        return 0 if self.step.gang else index

    def unplaced_indices(self) -> list[int]:
        """Return the tasks that neither are done nor run nor have a place."""
        return [
            index
            for index in range(self.step.tasks)
            if index not in self.done
            and not self.attempts.get(index)
            and index not in self.claimed_vms
        ]

    def may_disrupt(self) -> bool:
        """Return whether a planned action may take one of its tasks away now."""
        step = self.step
        if not step.lasting or not step.disruption_budget:
            return True
        ready_tasks = sum(
            any(
                each.phase is AttemptPhase.RUNNING and each.percent >= READY_PERCENT
                for each in starts
            )
            for starts in self.attempts.values()
        )
        return step.tasks - ready_tasks < step.disruption_budget

    def active_attempts(self) -> Iterator[Attempt]:
        """Return the starts that are not over."""
        for attempts in self.attempts.values():
            yield from attempts

    def task_id(self, index: int) -> TaskId:
        """Return the name of one of its tasks."""
        return TaskId(*self.group_id, index)


@attrs.define(eq=False)
class ActiveJob:
    """A job that is not over.

    Attributes
    ----------
    job, queue
        What was asked, and the class that it belongs to.
    groups
        Its groups by occurrence and step.
    started
        Whether a task of it has started.
    state
        `completed` or `failed` once it is over.
    cancelled
        Whether its caller wants it no more.
    added_s
        When this process learnt of it, on the loop's clock.
    ended_s
        When its end was told, on the loop's clock; `None` before, and for one that is cancelled.
    early_failure_vms
        VMs on which a task of it failed right after its start.
    """

    job: Job
    queue: Queue
    groups: dict[GroupId, Group]
    started: bool = False
    state: str = ""
    cancelled: bool = False
    added_s: float = 0.0
    ended_s: float | None = None
    early_failure_vms: set[str] = attrs.field(factory=set)

    @classmethod
    def begin(cls, job: Job, queue: Queue, progress: Progress, now_s: float) -> ActiveJob:
        """Return a job as far as its progress was kept."""
        groups = {}
        for occurrence in range(job.rounds):
            for number, step in enumerate(job.steps):
                group_id = GroupId(job.job_id, occurrence, number)
                groups[group_id] = Group(group_id, step, Resources.of_task(step))
        work = cls(job, queue, groups, progress.started, progress.state, added_s=now_s)
        for task in progress.done_tasks(job.job_id):
            if task.group in groups:
                groups[task.group].done.add(task.index)
        for occurrence, step, index, count, number in progress.failures:
            group = groups[GroupId(job.job_id, occurrence, step)]
            group.failures[index] = count
            group.last_failed_numbers[index] = number
        for occurrence, step, index, checkpoint in progress.checkpoints:
            groups[GroupId(job.job_id, occurrence, step)].checkpoints[index] = checkpoint
        return work

    @property
    def finished(self) -> bool:
        """Whether nothing of it may start any more."""
        return self.cancelled or bool(self.state)

    @property
    def accelerators(self) -> int:
        """Accelerators that its first step takes."""
        return self.job.steps[0].tasks * self.job.steps[0].accelerators

    def progress(self) -> Progress:
        """Return how far it has come, for keeping."""
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
                (*group.group_id[1:], index, count, group.last_failed_numbers[index])
                for group in open_groups
                for index, count in group.failures.items()
            ),
            checkpoints=tuple(
                (*group.group_id[1:], index, checkpoint)
                for group in open_groups
                for index, checkpoint in group.checkpoints.items()
            ),
        )

    def ready_groups(self, wall_s: float, now_s: float) -> Iterator[Group]:
        """Return the groups whose turn has come and that are not complete."""
        for group in self.groups.values():
            if group.complete or self.job.due_s(group.group_id.occurrence) > wall_s:
                continue
            earlier = (
                self.groups[GroupId(self.job.job_id, group.group_id.occurrence, step)]
                for step in group.step.after
            )
            if all(each.complete for each in earlier):
                group.ready_s = now_s if group.ready_s is None else group.ready_s
                yield group

    def critical_path_s(self) -> float:
        """Return the declared time of its longest chain of steps."""
        return max(self._step_end_times_s())

    def objective_s(self) -> float:
        """Return the time from its acceptance in which it is to be done."""
        return self.queue.stretch_limit * self.critical_path_s() + self.queue.latency_target_s

    def slack_s(self, group: Group, wall_s: float) -> float:
        """Return how long a new start of a task may wait for the job to be in time, in seconds."""
        base_s = max(self.job.accepted_s, self.job.due_s(group.group_id.occurrence))
        ends = self._step_end_times_s()
        before_s = ends[group.group_id.step] - group.step.estimate_s
        return base_s + self.objective_s() - wall_s - (max(ends) - before_s)

    def _step_end_times_s(self) -> list[float]:
        """Return when its steps end by their declared times, counted from its begin."""
        ends: list[float] = []
        for step in self.job.steps:
            start_s = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(start_s + step.estimate_s)
        return ends

    def next_due_s(self, wall_s: float) -> float | None:
        """Return when its next occurrence is due, in seconds since 1970."""
        later = (self.job.due_s(number) for number in range(self.job.rounds))
        return min((due_s for due_s in later if due_s > wall_s), default=None)

"""Active jobs and the state of their tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.job_table import Progress, progress_key
from briardeal_workflow.model import TaskGroupId
from briardeal_workflow.planning._crash_record import CrashRecord, CrashWeight, TaskCrash
from briardeal_workflow.planning._task_groups import PreemptionHistory, TaskGroup
from briardeal_workflow.planning._vms import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.model import Job, Queue


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
    accepted_s
        When the job was accepted, in seconds since 1970; not later than the owner's time of day.
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
    accepted_s: float = 0.0
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
        active_job = cls(
            job,
            queue,
            groups,
            progress.started,
            progress.state,
            accepted_s=job.accepted_s,
            added_s=now_s,
        )
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

    def limit_acceptance(self, wall_s: float) -> None:
        """Let the job be accepted now at the latest; the entry's clock may have been ahead."""
        self.accepted_s = min(self.accepted_s, wall_s)

    def ready_groups(self, wall_s: float, now_s: float) -> Iterator[TaskGroup]:
        """Return the incomplete groups that are due and whose preceding steps are complete."""
        for group in self.groups.values():
            if group.complete or not self.job.is_due(group.group_id.occurrence, wall_s):
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

    @property
    def divisible(self) -> bool:
        """Whether some of its tasks can start one by one and end by themselves."""
        return any(not step.gang and not step.long_running for step in self.job.steps)

    def work_left_core_s(self, wall_s: float) -> float:
        """Return the declared work of the tasks left of due occurrences, in core-seconds."""
        return sum(
            group.work_left_core_s
            for group in self.groups.values()
            if self.job.is_due(group.group_id.occurrence, wall_s)
        )

    def due_in_s(self, wall_s: float) -> float:
        """Return the time until the job should complete, in seconds; negative once it is late."""
        return self.accepted_s + self.objective_s() - wall_s

    def objective_s(self) -> float:
        """Return the time within which the job should complete, in seconds after its acceptance."""
        return self.queue.stretch_limit * self.critical_path_s() + self.queue.latency_target_s

    def slack_s(self, group: TaskGroup, wall_s: float) -> float:
        """Return how long a new attempt may be delayed for the job to be in time, in seconds."""
        base_s = self.accepted_s
        if self.job.has_schedule:
            base_s = max(base_s, self.job.due_s(group.group_id.occurrence))
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

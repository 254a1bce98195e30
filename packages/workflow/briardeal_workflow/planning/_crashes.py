"""Attribution of worker crashes to tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event, log_event
from briardeal_workflow.planning._crash_record import (
    EARLY_CRASH_S,
    CrashRecord,
    CrashWeight,
    TaskCrash,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from briardeal_workflow.model import TaskId
    from briardeal_workflow.planning._completions import CompletionHandler
    from briardeal_workflow.planning._state import PlannerState

COINCIDENCE_S = 0.5
"""Time between crashes of several workers that may have a common cause."""

REPORT_DELAY_S = 1.5
"""Longest time until the owner learns of a crash: agents wait for 1 s before they report one."""

COMMON_CAUSE_SHARE = 0.5
"""Share of all workers whose crashes at the same time have a common cause; suspects are never on
probation on as many."""

UNSTABLE_S = 30.0
"""Time for which suspects avoid a VM after a crash, as long as they may wait for another one."""

VM_FAULT_CRASHES = 2
"""Number of recent crashes without the task and any suspect from which the VM is at fault."""

VM_FAULT_WINDOW_S = 10.0
"""Time for which a crash counts as recent; a worker that crashes by itself does so every few
seconds."""

CRASH_RETENTION_S = 60.0
"""Time for which crashes are remembered; longer than agents repeat their reports."""


@attrs.define(eq=False)
class Crash:
    """Crash of a worker.

    Attributes
    ----------
    vm_id, incarnation
        VM and incarnation of the worker.
    at_s, received_s
        Times of the crash and of its report, on the event loop's clock.
    ran_s
        Run time of each attempt on the worker, in seconds, by task and attempt number; infinity if
        it is not known.
    suspects
        Attempts that were on probation after earlier crashes.
    primary
        Those, attempts that had just started, and those of which an earlier attempt crashed a
        worker after the same run time.
    settled
        Whether its attribution is final.
    """

    vm_id: str
    incarnation: str
    at_s: float
    received_s: float
    ran_s: Mapping[tuple[TaskId, int], float]
    suspects: frozenset[tuple[TaskId, int]] = frozenset()
    primary: frozenset[tuple[TaskId, int]] = frozenset()
    settled: bool = False

    @property
    def job_ids(self) -> set[str]:
        """Jobs of which a task ran on the worker."""
        return {task.job_id for task, _ in self.ran_s}

    def includes(self, task: TaskId) -> bool:
        """Return whether a task ran on the worker."""
        return any(each == task for each, _ in self.ran_s)

    def weight_of(self, task: TaskId, number: int) -> CrashWeight:
        """Return how strongly the crash points at an attempt, if no other crash explains it."""
        if not self.primary:
            return CrashWeight.WEAK
        if (task, number) not in self.primary:
            return CrashWeight.NONE
        return CrashWeight.STRONG if len(self.job_ids) > 1 else CrashWeight.ALONE

    @property
    def settles_s(self) -> float:
        """When all reports of crashes at the same time must have arrived."""
        return max(self.at_s + COINCIDENCE_S, self.received_s) + REPORT_DELAY_S


class CrashHandler:
    """Attributes crashes of workers to tasks, and gives up tasks that crash one after the other.

    A crash points at suspects, at tasks that had just started, and at those under which a worker
    crashed before at the same point of their run; else at all tasks on the worker. It counts once
    it is known which other workers crashed at the same time.

    Parameters
    ----------
    state, completions
        Planner state, and the handler that finishes jobs.

    Attributes
    ----------
    crashes
        Recent crashes, oldest report first.
    """

    def __init__(self, state: PlannerState, completions: CompletionHandler) -> None:
        self.state = state
        self.completions = completions
        self.crashes: list[Crash] = []

    def record_crash(self, crash: Crash) -> None:
        """Record the crash of a worker; a repeated report has no effect."""
        if any(
            (each.vm_id, each.incarnation) == (crash.vm_id, crash.incarnation)
            for each in self.crashes
        ):
            return
        crash.suspects = frozenset(
            key for key, ran_s in crash.ran_s.items() if ran_s < self._probation_s(key[0])
        )
        crash.primary = crash.suspects.union(
            key
            for key, ran_s in crash.ran_s.items()
            if ran_s < EARLY_CRASH_S or self._is_repeated(key[0], ran_s)
        )
        self.crashes.append(crash)
        self.state.unstable_vms[crash.vm_id] = crash.at_s + UNSTABLE_S
        for task, number, record in self._records(crash):
            weight, primary = crash.weight_of(task, number), (task, number) in crash.primary
            task_crash = TaskCrash(crash.vm_id, crash.ran_s[task, number], primary, weight)
            record.add(number, task_crash, crash.at_s)

    def settle(self, now_s: float) -> None:
        """Count the crashes whose attribution is final, and fail jobs that reach the limit."""
        for crash in self.crashes:
            if not crash.settled and crash.settles_s <= now_s:
                crash.settled = True
                self._count(crash, now_s)
        self.crashes = [
            each for each in self.crashes if now_s - each.received_s < CRASH_RETENTION_S
        ]
        for vm_id, until_s in list(self.state.unstable_vms.items()):
            if until_s < now_s:
                del self.state.unstable_vms[vm_id]

    def clear_suspects(self) -> None:
        """Forget the crashes of suspects that have run on beyond their probation."""
        for vm in self.state.vms.values():
            if vm.probation_of is None:
                continue
            on_probation = [each for each in vm.attempts.values() if each.on_probation]
            survivors = [each for each in on_probation if vm.has_survived_probation(each)]
            for attempt in survivors:
                attempt.probation_until_s = None
                group = self.state.group_of(attempt.task)
                if group is not None and group.crash_records.pop(attempt.task.index, None):
                    self.state.unsaved_jobs.add(attempt.task.job_id)
            if len(survivors) == len(on_probation):
                vm.probation_of = None

    def _count(self, crash: Crash, now_s: float) -> None:
        for task, number, record in self._records(crash):
            if number not in record.pending:
                continue
            highest, cause = self._highest_weight(crash, task, record, number)
            record.settle(number, highest)
            self.state.unsaved_jobs.add(task.job_id)
            log_event(
                Event.CRASH_ATTRIBUTED,
                job_id=task.job_id,
                task=str(task),
                number=number,
                vm=crash.vm_id,
                weight=int(record.counted[number].weight),
                total=record.weight,
                cause=cause,
            )
            if record.exceeds_limit:
                self.completions.fail_job(task, record.describe(), record.vms(), now_s)

    def _highest_weight(
        self, crash: Crash, task: TaskId, record: CrashRecord, number: int
    ) -> tuple[CrashWeight, str]:
        """Return the highest weight that a crash may have for a task, and what limits it."""
        together = [
            each
            for each in self.crashes
            if each.vm_id != crash.vm_id
            and abs(each.at_s - crash.at_s) <= COINCIDENCE_S
            and not each.includes(task)
        ]
        workers = len(self.state.vms.keys() | {each.vm_id for each in self.crashes})
        if len(together) + 1 > max(1.0, COMMON_CAUSE_SHARE * workers):
            return CrashWeight.NONE, f"{len(together)} other workers crashed at the same time"
        repeats = record.find_similar(crash.ran_s[task, number], number)
        elsewhere = any(each.vm_id != crash.vm_id for each in repeats)
        if any(not each.suspects or task.job_id in each.job_ids for each in together):
            limit = CrashWeight.STRONG if repeats else CrashWeight.WEAK
            return limit, "another worker crashed at the same time"
        crashes_without = self._count_crashes_without(task, crash)
        if crashes_without:
            limit = CrashWeight.NONE if crashes_without >= VM_FAULT_CRASHES else CrashWeight.WEAK
            limit = CrashWeight.STRONG if elsewhere else limit
            return limit, f"the worker had crashed {crashes_without} times without the task"
        if elsewhere or not record.counted:
            return CrashWeight.ALONE, ""
        if repeats:
            return CrashWeight.WEAK, "it crashed workers of this VM only"
        return CrashWeight.STRONG, "the run times until the crashes differ"

    def _count_crashes_without(self, task: TaskId, crash: Crash) -> int:
        """Return how often the worker of the VM has crashed shortly before without the task."""
        return sum(
            each.vm_id == crash.vm_id
            and 0.0 < crash.at_s - each.at_s < VM_FAULT_WINDOW_S
            and not each.suspects
            and not each.includes(task)
            for each in self.crashes
        )

    def _records(self, crash: Crash) -> Iterator[tuple[TaskId, int, CrashRecord]]:
        """Return the records of the tasks that ran on a worker, with the attempt numbers."""
        for task, number in crash.ran_s:
            active_job = self.state.job_of(task)
            if active_job is None or active_job.finished:
                continue
            records = active_job.groups[task.group].crash_records
            record = records.setdefault(task.index, CrashRecord())
            if number not in record.counted:
                yield task, number, record

    def _is_repeated(self, task: TaskId, ran_s: float) -> bool:
        """Return whether a worker has crashed under a task after the same run time before."""
        group = self.state.group_of(task)
        record = None if group is None else group.crash_records.get(task.index)
        return record is not None and bool(record.find_similar(ran_s))

    def _probation_s(self, task: TaskId) -> float:
        """Return the time for which a suspect is on probation; 0 for any other task."""
        group = self.state.group_of(task)
        record = None if group is None else group.crash_records.get(task.index)
        return record.probation_s if record is not None and record.suspect else 0.0

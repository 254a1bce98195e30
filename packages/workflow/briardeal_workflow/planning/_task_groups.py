"""Tasks of one occurrence of a step, and their state."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_workflow.model import TaskId
from briardeal_workflow.planning._attempts import AttemptPhase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from briardeal_workflow.model import Step, TaskGroupId
    from briardeal_workflow.planning._attempts import Attempt
    from briardeal_workflow.planning._claims import Claim
    from briardeal_workflow.planning._crash_record import CrashRecord
    from briardeal_workflow.planning._losses import Loss
    from briardeal_workflow.planning._vms import Resources


class WaitCause(enum.StrEnum):
    """What the tasks of a group wait for."""

    TAKEOVER = "tasks of an earlier owner might still run"
    CAPACITY = "no capacity was free"
    REFUSED = "the VMs with free capacity have just refused its start"
    UNREACHABLE = "the VMs with free capacity could not be reached"
    RESERVED = "free capacity was reserved for more urgent work"
    NO_VICTIMS = "no capacity was free, and other work could not be stopped"
    COSTS_MORE = "making room would have cost more work than it brought"
    ISOLATION = "its workers crashed, and no VM without other work was free"
    VERDICT = "its workers crashed, and reports of other crashes may still arrive"
    RECORD = "the store had not confirmed the record of the start"
    CLAIMED = "the VMs kept for it were not free yet"
    START = "the outcome of its start was not known"
    STOP = "an earlier attempt that was to stop had not ended"
    LEASE = "its VM could not be reached, and the lease of its attempt had not expired"
    MEMBERS = "other members of its gang were missing"
    EVACUATED = "the VMs that could run it are in evacuated failure domains"
    REGIONS = "no VM is known in the regions in which its queue may run tasks"
    REQUESTS_UNREAD = "the operators' requests to evacuate could not be read"


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


@attrs.define
class UnfinishedAttempts:
    """Attempts of a task under this owner that ended without its result.

    Attributes
    ----------
    count
        Number of attempts.
    lost_core_s
        Work of them that no checkpoint holds, in core-seconds.
    """

    count: int = 0
    lost_core_s: float = 0.0


@attrs.define
class Refusals:
    """Refused starts of a task on a VM since the task last started.

    Attributes
    ----------
    count
        Number of refusals.
    until_s
        Until when the task is not ordered there again, on the event loop's clock.
    """

    count: int = 0
    until_s: float = float("-inf")


REFUSAL_PAUSE_S = 0.1
"""Pause before a refused start is ordered on the same VM again; it doubles with each refusal."""

REFUSAL_PAUSE_LIMIT_S = 1.6
"""Longest such pause; a task without any other VM starts this late at most after the cause ends."""

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
    unreported_vms
        VMs that may run tasks for an earlier owner and have not reported since, by task index.
    preemption_due_s
        From when the group may preempt others; `None` until its tasks first have to wait.
    preempted_core_s
        Work of other jobs lost so far by preemptions for this group, in core-seconds.
    reserved_vms
        VMs reserved for the group by the newest round in which its tasks waited.
    preemptions
        Earlier preemptions by task index.
    unfinished
        Attempts that ended without a result, by task index.
    unexplained_losses
        Attempts of a broken gang that ended before it was known what broke the gang.
    crash_records
        Worker crashes that are counted, or may be, by task index.
    incomplete_since_s
        Since when members of the gang are missing while others run, on the event loop's clock;
        `None` if none are.
    refusals
        Refused starts by task index and VM; a gang counts all of them under index 0.
    wait_cause
        What the unplaced tasks waited for when that was last logged; `None` if none wait.
    moved
        Indices of tasks that were stopped on a slow VM to start elsewhere.
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
    unreported_vms: dict[int, str] = attrs.field(factory=dict)
    preemption_due_s: float | None = None
    preempted_core_s: float = 0.0
    reserved_vms: set[str] = attrs.field(factory=set)
    preemptions: dict[int, PreemptionHistory] = attrs.field(factory=dict)
    unfinished: dict[int, UnfinishedAttempts] = attrs.field(factory=dict)
    unexplained_losses: list[Loss] = attrs.field(factory=list)
    crash_records: dict[int, CrashRecord] = attrs.field(factory=dict)
    incomplete_since_s: float | None = None
    refusals: dict[tuple[int, str], Refusals] = attrs.field(factory=dict)
    wait_cause: WaitCause | None = None
    moved: set[int] = attrs.field(factory=set)

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
        """Return the tasks that are not completed, have no attempt, and have claimed no VM.

        Those that may run on a VM that has not reported since a takeover are left out.
        """
        return [
            index
            for index in range(self.step.tasks)
            if index not in self.done
            and not self.attempts.get(index)
            and index not in self.claims
            and index not in self.unreported_vms
        ]

    def indices_to_place(self) -> list[int]:
        """Return the tasks that wait for VMs; those of a gang only while no member has an attempt.

        Members of a gang that have claimed VMs keep them while the others are placed.
        """
        unplaced = self.unplaced_indices()
        if self.step.gang and len(unplaced) + len(self.claims) < self.step.tasks:
            return []
        return unplaced

    def lacks_members(self) -> bool:
        """Return whether some members of a gang run, and no order has been given for others."""
        if not self.step.gang or not self.unplaced_indices():
            return False
        return any(each.phase is not AttemptPhase.STOPPING for each in self.active_attempts())

    def record_refusal(self, index: int, vm_id: str, now_s: float) -> None:
        """Record that a VM has refused to start a task, so that others are tried first."""
        refusals = self.refusals.setdefault((self.recorded_index(index), vm_id), Refusals())
        pause_s = min(REFUSAL_PAUSE_S * 2**refusals.count, REFUSAL_PAUSE_LIMIT_S)
        refusals.count += 1
        refusals.until_s = now_s + pause_s

    def forget_refusals(self, index: int) -> None:
        """Forget the refused starts of a task once it has started."""
        recorded = self.recorded_index(index)
        for key in [each for each in self.refusals if each[0] == recorded]:
            del self.refusals[key]

    def refusal_pause_s(self, index: int, vm_id: str, now_s: float) -> float:
        """Return for how long a task is not ordered on a VM that has refused it, in seconds."""
        refusals = self.refusals.get((self.recorded_index(index), vm_id))
        return 0.0 if refusals is None else max(0.0, refusals.until_s - now_s)

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

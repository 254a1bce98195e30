"""Conversion of VM reports for the planner, and log lines of the owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from briardeal_core.events import Event, log_event
from briardeal_workflow.control import UNKNOWN_RUN_MS
from briardeal_workflow.planning import (
    AttemptOutcome,
    AttemptPhase,
    Crash,
    Resources,
    RunningTask,
    VmDescription,
)

if TYPE_CHECKING:
    from briardeal_workflow.control import EndedTask, StartResult, VmReport, VmState, WorkerCrash
    from briardeal_workflow.model import Job
    from briardeal_workflow.planning import Attempt, Vm


MAX_CLOCK_DIFFERENCE_S = 0.5
"""Difference of the clocks of two entries beyond which it is logged."""


def parse_outcome(name: str) -> AttemptOutcome:
    """Return the outcome of an attempt by its name.

    An unknown name becomes `AttemptOutcome.LOST`, which frees the capacity and does not count as a
    failure.
    """
    try:
        return AttemptOutcome(name)
    except ValueError:
        log_event(Event.RECORD_BROKEN, key="end", detail=name)
        return AttemptOutcome.LOST


def describe_vm(agent_id: str, vm: VmState) -> VmDescription:
    """Return the capacity and location of a VM as the planner needs them."""
    return VmDescription(
        agent_id,
        vm.incarnation,
        vm.service,
        Resources(vm.cpu_millis, vm.memory_mb, vm.accelerators),
        frozenset(vm.labels),
        vm.rack,
        vm.failure_domain,
        vm.leaving,
        vm.leaving_in_s,
        vm.leaving_for_s,
        vm.region,
    )


def convert_rows(report: VmReport) -> list[RunningTask]:
    """Return the attempts that a report lists as running or unresolved, for the planner."""
    rows = [
        RunningTask(
            row.task,
            row.number,
            row.checkpoint,
            row.percent,
            row.load,
            ran_s=None if row.ran_ms >= UNKNOWN_RUN_MS else row.ran_ms / 1000,
        )
        for row in report.running
    ]
    rows += [RunningTask(task, number, unresolved=True) for task, number in report.unsettled]
    return rows


def convert_crash(agent_id: str, crash: WorkerCrash, now_s: float) -> Crash:
    """Return a reported crash for the planner; `now_s` is the time of the report."""
    return Crash(
        agent_id,
        crash.incarnation,
        at_s=now_s - crash.age_ms / 1000,
        received_s=now_s,
        ran_s={
            (each.task, each.number): (
                math.inf if each.ran_ms >= UNKNOWN_RUN_MS else each.ran_ms / 1000
            )
            for each in crash.tasks
        },
    )


def find_attempts_without_effect(vm: Vm, report: VmReport) -> list[Attempt]:
    """Return the attempts whose latest order shows no effect in a report."""
    listed = {(row.task, row.number) for row in report.running}
    listed |= set(report.unsettled)
    found = []
    for key, attempt in vm.attempts.items():
        has_no_effect = attempt.phase is AttemptPhase.STOPPING or (
            attempt.phase is AttemptPhase.ORDERED and key not in listed
        )
        if has_no_effect:
            found.append(attempt)
    return found


def log_ended_task(agent_id: str, ended: EndedTask) -> None:
    """Log the end of an attempt that a report lists."""
    log_event(
        Event.TASK_ENDED,
        task=str(ended.task),
        number=ended.number,
        vm=agent_id,
        end=ended.end,
    )


def log_start_result(agent_id: str, result: StartResult) -> None:
    """Log the outcome of a start order."""
    log_event(
        Event.START_SETTLED,
        task=str(result.task),
        number=result.number,
        vm=agent_id,
        outcome=result.outcome,
        reason=result.reason,
    )


def log_clock_difference(job: Job, wall_s: float) -> None:
    """Log that a job was accepted after the given time of day, by the clock of another entry."""
    ahead_s = job.accepted_s - wall_s
    if ahead_s > MAX_CLOCK_DIFFERENCE_S:
        log_event(Event.CLOCKS_DIFFER, job_id=job.job_id, ahead_s=round(ahead_s, 3))

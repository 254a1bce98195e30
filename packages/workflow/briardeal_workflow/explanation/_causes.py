"""Search of the log lines for the cause of a refusal, a failure or a delay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from briardeal_core.events import Event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.explanation._lines import LogLine

EVIDENCE_WINDOW_S = 5.0
"""Time before a refusal in which store failures count as its cause; an entry whose calls to the
store fail sends them through another entry for some seconds."""

MAX_NORMAL_WAIT_S = 1.1
"""Longest wait that needs no explanation; urgent jobs start within this time."""

TAKEOVER_S = 11.6
"""Longest time for which a change of owners delays starts: the ownership lease of the previous
owner plus the leases of its agents."""

STORE_FAILURES = (Event.LOG_UNAVAILABLE, Event.STORE_DETOUR)
VM_LOSSES = (
    Event.AGENT_EXPIRED,
    Event.WORKER_CRASHED,
    Event.WORKER_GONE,
    Event.WORKER_REPLACED,
    Event.PROCESS_STARTED,
)
ADMISSION_REASONS = ("job_too_late", "job_never_fits", "deadline_passed")
"""Reasons of refusals that the entry gives without asking the store."""

REFUSALS = (Event.JOB_REFUSED, Event.REQUEST_REFUSED)


@attrs.frozen
class Wait:
    """Time between two lines of a job in which a task waited to start or ran without completing."""

    earlier: LogLine
    later: LogLine


def find_cause(lines: Sequence[LogLine], job_lines: Sequence[LogLine], job_id: str) -> str:
    """Return the cause of the outcome of a job as a sentence.

    Parameters
    ----------
    lines, job_lines
        All lines, and those of the job, oldest first.
    job_id
        ID of the job.
    """
    accepted = next((line for line in job_lines if line.event is Event.JOB_ACCEPTED), None)
    refusals = [line for line in job_lines if line.event in REFUSALS]
    if accepted is None and refusals:
        return _cause_of_refusal(lines, refusals[-1])
    failure = next((line for line in job_lines if line.fields.get("state") == "failed"), None)
    if failure is not None:
        return _cause_of_failure(lines, failure, job_id)
    if any(line.event is Event.JOB_CANCELLED for line in job_lines):
        return "its caller cancelled it."
    return _cause_of_delay(lines, job_lines)


def find_lines_between(lines: Sequence[LogLine], earlier: LogLine, later: LogLine) -> list[LogLine]:
    """Return the lines between two others, including those with the same times.

    Collectors round times, so that the order of lines with equal times is unknown.
    """
    return [
        line
        for line in lines
        if earlier.time_s <= line.time_s <= later.time_s and line not in (earlier, later)
    ]


def _cause_of_refusal(lines: Sequence[LogLine], refusal: LogLine) -> str:
    reason = refusal.fields.get("reason") or refusal.fields.get("status")
    detail = refusal.fields.get("detail") or "no detail"
    if reason in ADMISSION_REASONS:
        return f"{reason} ({detail}){describe_estimate(refusal.fields)}."
    affected = {
        line.vm
        for line in lines
        if line.event in STORE_FAILURES
        and refusal.time_s - EVIDENCE_WINDOW_S <= line.time_s <= refusal.time_s
    }
    if not affected:
        return f"{reason} ({detail})."
    if affected == {refusal.vm}:
        return f"{reason} ({detail}); the store failed on {refusal.vm} only."
    return f"{reason} ({detail}); the store failed on {', '.join(sorted(affected))}."


def describe_estimate(fields: dict[str, Any]) -> str:
    """Return the work and the capacity by which a job was refused; empty if none are logged."""
    try:
        return (
            f"; {fields['before_core_s']:.0f} core-seconds went before it on"
            f" {fields['cores']:.0f} cores, and its caller was asked to wait"
            f" {fields['retry_after_s']:.0f} s"
        )
    except (KeyError, ValueError):
        return ""


def _cause_of_failure(lines: Sequence[LogLine], failure: LogLine, job_id: str) -> str:
    vms = set(failure.fields.get("vms", ()))
    failures = [
        line
        for line in lines
        if line.event is Event.TASK_ENDED
        and line.fields.get("end") == "failed"
        and line.fields.get("vm") in vms
        and not line.concerns(job_id)
    ]
    cause = f"{failure.fields['cause']} on {', '.join(sorted(vms)) or 'unknown VMs'}"
    if failures:
        return f"{cause}; other jobs failed there {len(failures)} times, which points at the VMs."
    return f"{cause}; no other job failed there, which points at the job."


def _cause_of_delay(lines: Sequence[LogLine], job_lines: Sequence[LogLine]) -> str:
    """Return the cause of the longest wait for a start after acceptance or an earlier start."""
    waits = [
        wait
        for wait in _find_waits(job_lines)
        if wait.later.time_s - wait.earlier.time_s > MAX_NORMAL_WAIT_S
    ]
    waiting = _find_evacuation_wait(job_lines)
    if waiting is not None and waiting is job_lines[-1]:
        return f"it still waits: {_describe_evacuation(waiting)}."
    if not waits:
        return "nothing delayed it."
    longest = max(waits, key=lambda wait: wait.later.time_s - wait.earlier.time_s)
    wait_s = longest.later.time_s - longest.earlier.time_s
    return f"{wait_s:.1f} s lost: {_cause_of_wait(lines, longest)}"


def _find_evacuation_wait(lines: Sequence[LogLine]) -> LogLine | None:
    """Return the newest line of a wait for evacuated failure domains; `None` if there is none."""
    return next((line for line in reversed(lines) if line.fields.get("domains")), None)


def _describe_evacuation(line: LogLine) -> str:
    return f"{line.fields.get('cause')} ({', '.join(line.fields['domains'])})"


def _find_waits(job_lines: Sequence[LogLine]) -> list[Wait]:
    """Return the periods in which a task waited to start or ran without completing."""
    last_order: dict[str, LogLine] = {}
    ready: LogLine | None = None
    waits = []
    for line in job_lines:
        task = str(line.fields.get("task", ""))
        if line.event is Event.JOB_ACCEPTED:
            ready = ready or line
        elif line.event is Event.TASK_ORDERED:
            earlier = last_order.get(task, ready)
            if earlier is not None:
                waits.append(Wait(earlier, line))
            last_order[task] = line
        elif line.event is Event.TASK_ENDED and line.fields.get("end") == "done":
            # Tasks of later steps wait for the tasks of this step.
            ready = line
    return waits


def _cause_of_wait(lines: Sequence[LogLine], wait: Wait) -> str:
    between = find_lines_between(lines, wait.earlier, wait.later)
    vms = {line.vm for line in lines}
    restarted = {line.vm for line in between if line.event is Event.PROCESS_STARTED}
    if len(restarted) > len(vms) / 2:
        return f"{len(restarted)} of {len(vms)} VMs were restarted."
    vm = wait.earlier.fields.get("vm")
    for line in between:
        if vm is not None and line.event in VM_LOSSES and vm in (line.vm, line.fields.get("vm")):
            return f"{vm} was lost ({line.event.name.lower()}), and its work with it."
    task = wait.later.fields.get("task")
    for line in between:
        if line.event is Event.TASK_STOPPED and line.fields.get("task") == task:
            return f"it was stopped: {line.fields.get('cause')}."
        if line.event is Event.TASK_ENDED and line.fields.get("task") == task:
            return f"its attempt on {vm} ended: {line.fields.get('end')}."
    job_id = wait.later.fields.get("job_id")
    own_waits = [
        line
        for line in between
        if line.event is Event.JOB_WAITS and line.fields.get("job_id") == job_id
    ]
    evacuation = _find_evacuation_wait(own_waits)
    if evacuation is not None:
        return f"{_describe_evacuation(evacuation)}."
    claim = next((line for line in reversed(between) if line.event is Event.OWNER_CLAIMS), None)
    if claim is not None and wait.later.time_s - claim.time_s <= TAKEOVER_S:
        return f"the owner was replaced ({claim.fields.get('cause', 'cause unknown')})."
    if any(line.event in STORE_FAILURES for line in between):
        return "the store was unreachable."
    orders = sum(line.event is Event.TASK_ORDERED for line in between)
    logged_causes = (line.fields.get("cause") for line in reversed(own_waits))
    cause = next(logged_causes, "no capacity was free")
    return f"{cause}; {orders} starts were ordered meanwhile."

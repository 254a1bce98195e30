"""The cause of a refusal, a failure or a delay, found by evidence in the log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.events import Event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_workflow.explanation._lines import LogLine

BEFORE_REFUSAL_S = 5.0
"""Time before a refusal in which lines on the store are evidence; a detour lasts some seconds."""

ON_TIME_S = 1.1
"""Longest wait that needs no cause; urgent work starts within it."""

TAKEOVER_S = 11.6
"""Longest time for which a change of owners holds back starts: the right of the owner before and
the hold of its agents."""

STORE_TROUBLE = (Event.LOG_UNAVAILABLE, Event.STORE_DETOUR)
VM_LOST = (Event.AGENT_EXPIRED, Event.WORKER_GONE, Event.WORKER_REPLACED, Event.PROCESS_STARTED)
REFUSALS = (Event.JOB_REFUSED, Event.REQUEST_REFUSED)


@attrs.frozen
class Wait:
    """The time between two lines of a job in which one of its tasks got no further."""

    earlier: LogLine
    later: LogLine


def find_cause(lines: Sequence[LogLine], own: Sequence[LogLine], job_id: str) -> str:
    """Return why a job ended as it did."""
    accepted = next((line for line in own if line.event is Event.JOB_ACCEPTED), None)
    refused = [line for line in own if line.event in REFUSALS]
    if accepted is None and refused:
        return _cause_of_refusal(lines, refused[-1])
    failed = next((line for line in own if line.fields.get("state") == "failed"), None)
    if failed is not None:
        return _cause_of_failure(lines, failed, job_id)
    if any(line.event is Event.JOB_CANCELLED for line in own):
        return "its caller cancelled it."
    return _cause_of_delay(lines, own)


def find_between(lines: Sequence[LogLine], earlier: LogLine, later: LogLine) -> list[LogLine]:
    """Return the lines between two; collectors round times, so that equal ones belong to them."""
    return [
        line
        for line in lines
        if earlier.time_s <= line.time_s <= later.time_s and line not in (earlier, later)
    ]


def _cause_of_refusal(lines: Sequence[LogLine], refused: LogLine) -> str:
    reason = refused.fields.get("reason") or refused.fields.get("status")
    detail = refused.fields.get("detail") or "no detail"
    trouble = {
        line.vm
        for line in lines
        if line.event in STORE_TROUBLE
        and refused.time_s - BEFORE_REFUSAL_S <= line.time_s <= refused.time_s
    }
    if not trouble:
        return f"{reason} ({detail})."
    if trouble == {refused.vm}:
        return f"{reason} ({detail}); the store failed {refused.vm} alone."
    return f"{reason} ({detail}); the store failed {', '.join(sorted(trouble))}."


def _cause_of_failure(lines: Sequence[LogLine], failed: LogLine, job_id: str) -> str:
    vms = set(failed.fields.get("vms", ()))
    others = [
        line
        for line in lines
        if line.event is Event.TASK_ENDED
        and line.fields.get("end") == "failed"
        and line.fields.get("vm") in vms
        and not line.concerns(job_id)
    ]
    cause = f"{failed.fields['cause']} on {', '.join(sorted(vms)) or 'unknown VMs'}"
    if others:
        return f"{cause}; other jobs failed there {len(others)} times, which points at the VMs."
    return f"{cause}; no other job failed there, which points at the job."


def _cause_of_delay(lines: Sequence[LogLine], own: Sequence[LogLine]) -> str:
    """Return what stands between a start of a task, or the acceptance, and the next start."""
    waits = [
        wait for wait in _find_waits(own) if wait.later.time_s - wait.earlier.time_s > ON_TIME_S
    ]
    if not waits:
        return "nothing delayed it."
    longest = max(waits, key=lambda wait: wait.later.time_s - wait.earlier.time_s)
    lost_s = longest.later.time_s - longest.earlier.time_s
    return f"{lost_s:.1f} s lost: {_blame(lines, longest)}"


def _find_waits(own: Sequence[LogLine]) -> list[Wait]:
    """Return the times in which a task that should run did not, or ran in vain."""
    since: dict[str, LogLine] = {}
    begun: LogLine | None = None
    waits = []
    for line in own:
        task = str(line.fields.get("task", ""))
        if line.event is Event.JOB_ACCEPTED:
            begun = begun or line
        elif line.event is Event.TASK_ORDERED:
            earlier = since.get(task, begun)
            if earlier is not None:
                waits.append(Wait(earlier, line))
            since[task] = line
        elif line.event is Event.TASK_ENDED and line.fields.get("end") == "done":
            # Tasks of later steps wait for it.
            begun = line
    return waits


def _blame(lines: Sequence[LogLine], wait: Wait) -> str:
    between = find_between(lines, wait.earlier, wait.later)
    vms = {line.vm for line in lines}
    restarted = {line.vm for line in between if line.event is Event.PROCESS_STARTED}
    if len(restarted) > len(vms) / 2:
        return f"{len(restarted)} of {len(vms)} VMs were restarted."
    vm = wait.earlier.fields.get("vm")
    for line in between:
        if vm is not None and line.event in VM_LOST and vm in (line.vm, line.fields.get("vm")):
            return f"{vm} was lost ({line.event.name.lower()}), and its work with it."
    task = wait.later.fields.get("task")
    for line in between:
        if line.event is Event.TASK_STOPPED and line.fields.get("task") == task:
            return f"it was stopped: {line.fields.get('cause')}."
        if line.event is Event.TASK_ENDED and line.fields.get("task") == task:
            return f"its start on {vm} ended: {line.fields.get('end')}."
    claim = next((line for line in reversed(between) if line.event is Event.OWNER_CLAIMS), None)
    if claim is not None and wait.later.time_s - claim.time_s <= TAKEOVER_S:
        return f"the owner was replaced ({claim.fields.get('cause', 'cause unknown')})."
    if any(line.event in STORE_TROUBLE for line in between):
        return "the store was out of reach."
    orders = sum(line.event is Event.TASK_ORDERED for line in between)
    return f"there was no room; {orders} starts were ordered meanwhile."

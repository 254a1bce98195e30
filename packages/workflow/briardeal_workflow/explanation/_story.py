"""The story of a job: its own lines, what happened in the pauses between them, and the cause."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from briardeal_core.events import Event
from briardeal_workflow.explanation._causes import find_between, find_cause

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from typing import Any

    from briardeal_workflow.explanation._lines import LogLine, LogLines

PAUSE_S = 1.1
"""Pause between two lines of a job that is looked into; urgent work starts within it."""

LINES_PER_PAUSE = 8
"""Most lines that are told of one pause; more are counted."""

UNTOLD = frozenset({"event", "job_id", "timestamp"})
"""Fields that say nothing more about the event of a known job at a known time."""

OF_THE_SITE = frozenset(
    {
        Event.OWNER_CLAIMS,
        Event.OWNER_STARTED,
        Event.OWNER_REPLACED,
        Event.STARTS_SETTLED,
        Event.LOG_UNAVAILABLE,
        Event.LOG_RECOVERED,
        Event.STORE_DETOUR,
        Event.STORE_REGAINED,
    }
)
"""Events that concern every job."""

OF_A_VM = frozenset(
    {
        Event.AGENT_EXPIRED,
        Event.WORKER_GONE,
        Event.WORKER_SILENT,
        Event.WORKER_REPLACED,
        Event.ENDPOINT_EJECTED,
        Event.HOLD_LOST,
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
    }
)
"""Events that concern the jobs that run on a VM."""

SENTENCES: dict[Event, Callable[[dict[str, Any]], str]] = {
    Event.JOB_ACCEPTED: lambda line: (
        f"accepted for queue {line['queue']} of {line['customer']}, {line['tasks']} tasks"
    ),
    Event.JOB_REFUSED: lambda line: (
        f"refused: {line['reason']}, told as {line.get('run_state', 'unknown job')}"
    ),
    Event.REQUEST_REFUSED: lambda line: f"refused with {line['status']}: {line['detail']}",
    Event.TASK_ORDERED: lambda line: (
        f"start {line['number']} of {line['task']} ordered on {line['vm']}: {line['cause']}"
    ),
    Event.TASK_STOPPED: lambda line: (
        f"start {line['number']} of {line['task']} on {line['vm']} stopped: {line['cause']}"
    ),
    Event.START_SETTLED: lambda line: (
        f"start {line['number']} of {line['task']} on {line['vm']}: {line['outcome']}"
    ),
    Event.TASK_ENDED: lambda line: (
        f"start {line['number']} of {line['task']} on {line['vm']} ended: {line['end']}"
    ),
    Event.JOB_ADOPTED: lambda line: f"{line['task']} found running on {line['vm']}",
    Event.JOB_CANCELLED: lambda line: "cancelled by its caller",
    Event.JOB_ENDED: lambda line: f"{line['state']}: {line['cause']}",
}
"""What the events of a job mean."""


def explain_job(log: LogLines, job_id: str) -> list[str]:
    """Return sentences on what became of a job, oldest first, the cause last."""
    own = [line for line in log.lines if line.concerns(job_id)]
    if not own:
        return [f"No line names job {job_id}."]
    sentences = [_tell(own[0])]
    for earlier, later in itertools.pairwise(own):
        if later.time_s - earlier.time_s > PAUSE_S:
            sentences += _tell_pause(log.lines, own, earlier, later)
        sentences.append(_tell(later))
    sentences.append(f"Cause: {find_cause(log.lines, own, job_id)}")
    if log.unreadable:
        sentences.append(f"{log.unreadable} lines could not be read.")
    return sentences


def _tell(line: LogLine) -> str:
    sentence = SENTENCES.get(line.event)
    try:
        told = sentence(line.fields) if sentence else _list_fields(line)
    except KeyError:
        # Written by another version.
        told = _list_fields(line)
    return f"{line.time_s:.2f} {line.vm}: {told}"


def _list_fields(line: LogLine) -> str:
    fields = ", ".join(
        f"{name} {value}" for name, value in line.fields.items() if name not in UNTOLD
    )
    name = line.event.name.lower().replace("_", " ")
    return f"{name}: {fields}" if fields else name


def _tell_pause(
    lines: Sequence[LogLine], own: Sequence[LogLine], earlier: LogLine, later: LogLine
) -> Iterator[str]:
    """Tell what else happened between two lines of a job."""
    vms = {line.fields["vm"] for line in own if "vm" in line.fields}
    between = find_between(lines, earlier, later)
    told = [
        line
        for line in between
        if line.event in OF_THE_SITE
        or (line.event in OF_A_VM and vms & {line.vm, line.fields.get("vm")})
    ]
    yield f"  {later.time_s - earlier.time_s:.1f} s without a line of this job"
    for line in told[:LINES_PER_PAUSE]:
        yield f"  {_tell(line)}"
    if len(told) > LINES_PER_PAUSE:
        yield f"  and {len(told) - LINES_PER_PAUSE} more lines of owners, store and these VMs"
    orders = sum(line.event is Event.TASK_ORDERED for line in between)
    if orders:
        yield f"  {orders} starts of other jobs were ordered"

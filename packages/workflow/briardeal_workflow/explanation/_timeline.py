"""The timeline of a job: its own lines, events in the gaps between them, and the cause."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from briardeal_core.events import Event
from briardeal_workflow.explanation._causes import (
    describe_estimate,
    find_cause,
    find_lines_between,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from typing import Any

    from briardeal_workflow.explanation._lines import LogLine, LogLines

GAP_S = 1.1
"""Longest gap between two lines of a job without an explanation; urgent jobs start within it."""

LINES_PER_GAP = 8
"""Largest number of lines that are listed for one gap; further lines are only counted."""

HIDDEN_FIELDS = frozenset({"event", "job_id", "timestamp"})
"""Fields that are not listed: the event number, the job and the time are known already."""

SHARED_EVENTS = frozenset(
    {
        Event.OWNER_CLAIMS,
        Event.OWNER_STARTED,
        Event.OWNER_REPLACED,
        Event.STARTS_SETTLED,
        Event.LOG_UNAVAILABLE,
        Event.LOG_RECOVERED,
        Event.STORE_DETOUR,
        Event.STORE_REGAINED,
        Event.EVACUATION_IN_FORCE,
        Event.EVACUATION_ENDED,
        Event.STARTS_HELD,
        Event.STARTS_RESUMED,
    }
)
"""Events that affect every job."""

VM_EVENTS = frozenset(
    {
        Event.AGENT_EXPIRED,
        Event.WORKER_CRASHED,
        Event.WORKER_GONE,
        Event.WORKER_SILENT,
        Event.WORKER_REPLACED,
        Event.ENDPOINT_EJECTED,
        Event.HOLD_LOST,
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
    }
)
"""Events that affect the jobs of one VM."""

SENTENCES: dict[Event, Callable[[dict[str, Any]], str]] = {
    Event.JOB_ACCEPTED: lambda line: (
        f"accepted for queue {line['queue']} of {line['customer']}, {line['tasks']} tasks"
    ),
    Event.JOB_REFUSED: lambda line: (
        f"refused: {line['reason']}, reported as {line.get('run_state', 'unknown job')}"
        + describe_estimate(line)
    ),
    Event.REQUEST_REFUSED: lambda line: f"refused with {line['status']}: {line['detail']}",
    Event.JOB_WAITS: lambda line: (
        f"{line['tasks']} tasks of step {line['step']} wait: {line['cause']}"
        + (f" ({', '.join(line['domains'])})" if line.get("domains") else "")
    ),
    Event.JOB_PASSED_OVER: lambda line: (
        f"{line['starts']} tasks of later jobs started before its own, now of {line['started']}"
    ),
    Event.TASK_ORDERED: lambda line: (
        f"attempt {line['number']} of {line['task']} ordered on {line['vm']}: {line['cause']}"
    ),
    Event.TASK_STOPPED: lambda line: (
        f"attempt {line['number']} of {line['task']} on {line['vm']} stopped: {line['cause']}"
    ),
    Event.START_SETTLED: lambda line: (
        f"attempt {line['number']} of {line['task']} on {line['vm']}: {line['outcome']}"
    ),
    Event.TASK_ENDED: lambda line: (
        f"attempt {line['number']} of {line['task']} on {line['vm']} ended: {line['end']}"
    ),
    Event.JOB_ADOPTED: lambda line: f"{line['task']} found running on {line['vm']}",
    Event.JOB_CANCELLED: lambda line: "cancelled by its caller",
    Event.JOB_ENDED: lambda line: f"{line['state']}: {line['cause']}",
}
"""Descriptions of the events of a job, made from their log fields."""


def explain_job(log: LogLines, job_id: str) -> list[str]:
    """Return a description of each event of a job, oldest first, and at the end the cause."""
    job_lines = [line for line in log.lines if line.concerns(job_id)]
    if not job_lines:
        return [f"No line names job {job_id}."]
    sentences = [_describe(job_lines[0])]
    for earlier, later in itertools.pairwise(job_lines):
        if later.time_s - earlier.time_s > GAP_S:
            sentences += _describe_gap(log.lines, job_lines, earlier, later)
        sentences.append(_describe(later))
    sentences.append(f"Cause: {find_cause(log.lines, job_lines, job_id)}")
    if log.unreadable:
        sentences.append(f"{log.unreadable} lines could not be read.")
    return sentences


def _describe(line: LogLine) -> str:
    sentence = SENTENCES.get(line.event)
    try:
        text = sentence(line.fields) if sentence else _list_fields(line)
    except KeyError:
        # Another version of the program logs other fields.
        text = _list_fields(line)
    return f"{line.time_s:.2f} {line.vm}: {text}"


def _list_fields(line: LogLine) -> str:
    fields = ", ".join(
        f"{name} {value}" for name, value in line.fields.items() if name not in HIDDEN_FIELDS
    )
    name = line.event.name.lower().replace("_", " ")
    return f"{name}: {fields}" if fields else name


def _describe_gap(
    lines: Sequence[LogLine], job_lines: Sequence[LogLine], earlier: LogLine, later: LogLine
) -> Iterator[str]:
    """Describe other events between two lines of a job."""
    vms = {line.fields["vm"] for line in job_lines if "vm" in line.fields}
    between = find_lines_between(lines, earlier, later)
    listed = [
        line
        for line in between
        if line.event in SHARED_EVENTS
        or (line.event in VM_EVENTS and vms & {line.vm, line.fields.get("vm")})
    ]
    yield f"  {later.time_s - earlier.time_s:.1f} s without a line of this job"
    for line in listed[:LINES_PER_GAP]:
        yield f"  {_describe(line)}"
    if len(listed) > LINES_PER_GAP:
        yield f"  and {len(listed) - LINES_PER_GAP} more lines about owners, store and these VMs"
    orders = sum(line.event is Event.TASK_ORDERED for line in between)
    if orders:
        yield f"  {orders} starts of other jobs were ordered"

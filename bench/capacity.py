"""Table of `docs/CAPACITY.md`, computed from the measurements of this package."""

from __future__ import annotations

from pathlib import Path

import attrs
import msgspec

from bench import target
from bench.agent_process import AgentUse, measure_agent
from bench.entry_process import EntryUse, measure_entry
from bench.owner_state import OwnerUse, measure_owner
from briardeal.jobs import JobAccepted, JobPlaced
from briardeal.jobs.ownership import RENEW_INTERVAL_S as OWNER_RENEWAL_S
from briardeal.jobs.ownership import OwnerRenewed
from briardeal_core.jobs import JobRequest

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin measured -->\n"
END = "<!-- end measured -->\n"
RECORDS_PER_JOB = 4
"""Records of acceptance, placement, start and end."""

JOB_RETENTION_DAYS = 2
LARGEST_GANG = 64
AGENTS_PER_REGION = target.WORKERS // target.REGIONS
TASK_STATUS_BYTES = 200


@attrs.frozen
class Row:
    """Resource use of one role at the target size, as text."""

    role: str
    state: str
    messages: str
    processor: str
    memory: str
    sent: str


def main() -> None:
    """Measure, and rewrite the table of the page."""
    rows = [
        _agent_row(measure_agent()),
        _entry_row(measure_entry()),
        _owner_row(measure_owner(AGENTS_PER_REGION), measure_owner(target.WORKERS)),
        _log_row(),
    ]
    page = PAGE.read_text()
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(head + BEGIN + render_table(rows) + END + tail)


def render_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| Role | State | Messages | Processor | Memory | Bytes |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines += ["| " + " | ".join(attrs.astuple(row)) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def _agent_row(use: AgentUse) -> Row:
    heartbeats_per_s = target.ENTRIES_PER_REGION
    tasks = target.TASKS // target.WORKERS
    return Row(
        "Agent, one for each endpoint or worker VM",
        f"8 slots, {tasks} tasks, keys of its endpoint",
        f"{heartbeats_per_s} heartbeats/s and their answers; 1 request/s",
        f"{use.cpu_percent:.2f} % of a core (bound {target.NODE_CPU_PERCENT} %)",
        f"{use.resident_mb:.1f} MB (bound {target.NODE_MEMORY_MB} MB)",
        f"{use.bytes_per_s:.0f} B/s (bound {target.NODE_BYTES_PER_S} B/s)",
    )


def _entry_row(use: EntryUse) -> Row:
    agents = AGENTS_PER_REGION
    jobs = JOB_RETENTION_DAYS * target.JOBS_PER_DAY
    memory_mb = use.base_mb + (agents * use.agent_kb + jobs * use.job_kb) / 1024
    cpu_percent = 100 * agents * use.heartbeat_cpu_s
    accept_percent = 100 * use.job_cpu_s * target.JOBS_PER_DAY / target.DAY_S
    return Row(
        f"Entry, {target.ENTRIES_PER_REGION} in each region",
        f"{agents} agents, {jobs} jobs of {JOB_RETENTION_DAYS} days, configuration",
        f"{agents} heartbeats/s and their answers",
        f"{cpu_percent:.2f} % of a core for heartbeats, {accept_percent:.4f} % for accepting jobs",
        f"{memory_mb:.0f} MB",
        f"{agents * use.heartbeat_bytes:.0f} B/s with its agents",
    )


def _owner_row(one_region: OwnerUse, all_regions: OwnerUse) -> Row:
    starts_per_s = target.JOBS_PER_DAY / target.REGIONS / target.DAY_S
    cpu_percent = 100 * (one_region.quiet_round_s + starts_per_s * one_region.start_cpu_s)
    tasks = target.TASKS // target.REGIONS
    return Row(
        "Owner, one entry of each region",
        f"{one_region.workers} workers, {tasks} tasks and the jobs that run",
        f"{starts_per_s * 60:.2f} starts a minute, 2 calls for each member of a gang",
        f"{cpu_percent:.3f} % of a core at one round a second; "
        f"{one_region.start_cpu_s * 1e3:.2f} ms for a start",
        f"{one_region.memory_kb / 1024:.1f} MB; "
        f"{all_regions.memory_kb / 1024:.1f} MB were it one region",
        f"{LARGEST_GANG * TASK_STATUS_BYTES * 2 / 1024:.0f} KB at the start of a gang of "
        f"{LARGEST_GANG}",
    )


def _log_row() -> Row:
    renewals = target.REGIONS * target.DAY_S / OWNER_RENEWAL_S
    jobs = RECORDS_PER_JOB * target.JOBS_PER_DAY
    appends = renewals + jobs + target.CHANGES_PER_DAY
    size_mb = (renewals * _renewal_bytes() + target.JOBS_PER_DAY * _job_bytes()) / 1e6
    share = 100 * renewals / appends
    return Row(
        "Log, the platform's",
        f"{jobs} records of jobs, {target.CHANGES_PER_DAY} changes and snapshots a day",
        f"{appends:.0f} appends a day, {appends / target.DAY_S:.2f}/s; {share:.0f} % are renewals",
        "the platform's",
        f"{size_mb:.1f} MB a day without configuration",
        f"{1e6 * size_mb / target.DAY_S:.0f} B/s",
    )


def _renewal_bytes() -> int:
    peers = tuple(f"entry-{number}" for number in range(target.ENTRIES_PER_REGION - 1))
    return len(msgspec.msgpack.encode(OwnerRenewed(token=1, peers=peers, workers=1)))


def _job_bytes() -> int:
    job = JobRequest(
        job_id="job-0123456789abcdef",
        customer="team-1",
        job_class="nightly tally",
        tasks=8,
        accelerators_per_task=1,
        command="python -m tally --night",
    )
    workers = tuple(f"worker-{number}" for number in range(job.tasks))
    placed = JobPlaced(job_id=job.job_id, attempt=1, workers=workers, token=1, why="x" * 120)
    accepted = JobAccepted(job=job, region="ljubljana")
    return len(msgspec.msgpack.encode(accepted)) + 3 * len(msgspec.msgpack.encode(placed))


if __name__ == "__main__":
    main()

"""Checks of the tasks that ran, using only the histories of the simulated workers."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal_agent.tasks import PARTIAL_GANG_LIMIT_S

if TYPE_CHECKING:
    from tests.entry.jobs.cluster import Cluster


@attrs.frozen
class Run:
    """A task that ran on a worker."""

    job_id: str
    attempt: int
    worker: str
    gang: tuple[str, ...]
    accelerators: int
    start_s: float
    end_s: float
    finished: bool


def collect_runs(cluster: Cluster, now_s: float) -> list[Run]:
    """Return all tasks that ever ran."""
    runs = []
    for agent in cluster.agents:
        for worker_task in agent.worker.running.values():
            worker_task.advance(now_s)
            task = worker_task.task
            end_s = now_s if worker_task.ended_s is None else worker_task.ended_s
            finished = task.state.value == "finished"
            fields = (task.job_id, task.attempt, agent.name, task.workers, task.accelerators)
            runs.append(Run(*fields, worker_task.started_s, end_s, finished))
    return runs


def check_runs(cluster: Cluster, now_s: float) -> None:
    """Check the runs of all jobs and the final state of each accepted job.

    No two attempts at a job overlap, no gang runs partially for longer than `GANG_BOUND_S`, no
    worker is overcommitted, a job that may not run twice runs at most once, and every accepted job
    reaches the final state that its runs imply.
    """
    runs = collect_runs(cluster, now_s)
    attempts = defaultdict(list)
    for run in runs:
        attempts[run.job_id, run.attempt].append(run)
    assert find_overlapping_attempts(attempts) == []
    for gang in attempts.values():
        assert partial_gang_s(gang) <= PARTIAL_GANG_LIMIT_S, gang
    for agent in cluster.agents:
        assert peak_accelerators(runs, agent.name) <= agent.size
    for job_id, job in cluster.accepted.items():
        full_gangs = [
            gang for (name, _), gang in attempts.items() if name == job_id and full_gang_s(gang)
        ]
        finished = [gang for gang in full_gangs if all(run.finished for run in gang)]
        state = cluster.view(job_id).state.value
        assert state in ("finished", "failed", "cancelled"), (job_id, cluster.view(job_id))
        assert (state == "finished") == bool(finished), (job_id, state, finished)
        assert job.idempotent or len(full_gangs) <= 1, full_gangs
        assert state != "failed" or not job.idempotent or job.command == "fail"


def find_overlapping_attempts(attempts: dict) -> list:
    """Return the pairs of attempts at one job that ran at the same time."""
    spans = defaultdict(list)
    for (job_id, _), gang in attempts.items():
        spans[job_id].append((min(r.start_s for r in gang), max(r.end_s for r in gang)))
    return [
        (job_id, one, other)
        for job_id, found in spans.items()
        for one, other in itertools.combinations(found, 2)
        if max(one[0], other[0]) < min(one[1], other[1])
    ]


def full_gang_s(gang: list[Run]) -> float:
    """Return for how long all members ran at once; slightly more than 0 for a single instant."""
    if len(gang) < len(gang[0].gang):
        return 0.0
    ends = [run.end_s for run in gang if not run.finished] or [max(r.end_s for r in gang)]
    return max(0.0, min(ends) - max(run.start_s for run in gang) + 1e-9)


def partial_gang_s(gang: list[Run]) -> float:
    """Return for how long some but not all members ran."""
    span_s = max(run.end_s for run in gang) - min(run.start_s for run in gang)
    return span_s - full_gang_s(gang)


def peak_accelerators(runs: list[Run], worker: str) -> int:
    """Return the highest number of accelerators of a worker that tasks used at once."""
    changes = []
    for run in runs:
        if run.worker == worker:
            changes += [(run.start_s, 1, run.accelerators), (run.end_s, 0, -run.accelerators)]
    return max(itertools.accumulate(change for _, _, change in sorted(changes)), default=0)

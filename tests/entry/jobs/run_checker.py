"""Checks of what ran, by the histories of the platform alone."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from briardeal_agent.tasks import GANG_BOUND_S

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
    """Return everything that ever ran."""
    runs = []
    for agent in cluster.agents:
        for held in agent.worker.running.values():
            held.advance(now_s)
            task = held.task
            end_s = now_s if held.ended_s is None else held.ended_s
            finished = task.state.value == "finished"
            fields = (task.job_id, task.attempt, agent.name, task.workers, task.accelerators)
            runs.append(Run(*fields, held.started_s, end_s, finished))
    return runs


def check_runs(cluster: Cluster, now_s: float) -> None:
    """Fail if anything ran that must not have run, or an accepted job was lost."""
    runs = collect_runs(cluster, now_s)
    attempts = defaultdict(list)
    for run in runs:
        attempts[run.job_id, run.attempt].append(run)
    assert find_overlapping_attempts(attempts) == []
    for gang in attempts.values():
        assert partial_gang_s(gang) <= GANG_BOUND_S, gang
    for agent in cluster.agents:
        assert peak_accelerators(runs, agent.name) <= agent.size
    for job_id, job in cluster.accepted.items():
        whole = [
            gang for (name, _), gang in attempts.items() if name == job_id and full_gang_s(gang)
        ]
        finished = [gang for gang in whole if all(run.finished for run in gang)]
        state = cluster.view(job_id).state.value
        assert state in ("finished", "failed", "cancelled"), (job_id, cluster.view(job_id))
        assert (state == "finished") == bool(finished), (job_id, state, finished)
        assert job.idempotent or len(whole) <= 1, whole
        assert state != "failed" or not job.idempotent or job.command == "fail"


def find_overlapping_attempts(attempts: dict) -> list:
    """Return the pairs of attempts of one job that ran at the same time."""
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
    """Return how long every member ran at once; a little more than 0 for an instant."""
    if len(gang) < len(gang[0].gang):
        return 0.0
    ends = [run.end_s for run in gang if not run.finished] or [max(r.end_s for r in gang)]
    return max(0.0, min(ends) - max(run.start_s for run in gang) + 1e-9)


def partial_gang_s(gang: list[Run]) -> float:
    """Return how long members ran while the gang was not whole."""
    span_s = max(run.end_s for run in gang) - min(run.start_s for run in gang)
    return span_s - full_gang_s(gang)


def peak_accelerators(runs: list[Run], worker: str) -> int:
    """Return the most accelerators of a worker that tasks held at once."""
    changes = []
    for run in runs:
        if run.worker == worker:
            changes += [(run.start_s, 1, run.accelerators), (run.end_s, 0, -run.accelerators)]
    return max(itertools.accumulate(change for _, _, change in sorted(changes)), default=0)

"""Failure counts by VM and by job, to tell failing VMs from failing jobs."""

from __future__ import annotations

import math
from collections import Counter

import attrs

WORKER_FAILED_JOBS_LIMIT = 3
"""Different jobs that must fail on a VM since its last success before it is quarantined."""

JOB_FAILED_VMS_LIMIT = 3
"""Different VMs that a job fails on before it is abandoned."""

JOB_FAILURE_LIMIT = 6
"""Failures of a job, on any VMs, before it is abandoned."""

INITIAL_QUARANTINE_S = 600.0
"""Duration of the first quarantine of a VM, in seconds, doubled after every failed trial."""

MAX_QUARANTINE_S = 6 * 3600.0

INITIAL_RETRY_DELAY_S = 30.0
"""Delay of the first retry of a failed job, in seconds, doubled with every failure."""


@attrs.define
class WorkerHealth:
    """Failures of jobs on one VM, and its quarantine.

    Attributes
    ----------
    failed_jobs
        Jobs that failed on it since the last success.
    quarantined_until_s
        When its quarantine ends, in seconds, or `None` if it is not in quarantine.
    quarantine_s
        Duration of the next quarantine, in seconds.
    on_trial
        Whether its quarantine has ended, but no job has succeeded or failed on it since.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until_s: float | None = None
    quarantine_s: float = INITIAL_QUARANTINE_S
    on_trial: bool = False


@attrs.define
class FailureTracker:
    """Failures of all VMs and jobs.

    Attributes
    ----------
    workers
        Health of the VMs on which a job failed since the last success.
    workers_by_job
        VMs that each job failed on.
    failure_counts
        Number of failures of each job.
    """

    workers: dict[str, WorkerHealth] = attrs.field(factory=dict)
    workers_by_job: dict[str, set[str]] = attrs.field(factory=dict)
    failure_counts: Counter[str] = attrs.field(factory=Counter)

    def record_failure(self, job_id: str, worker_id: str, now_s: float) -> bool:
        """Record a failure and return whether it puts the VM into quarantine.

        If the job has reached its limit, the failures count against the job and not the VMs.
        """
        health = self.workers.setdefault(worker_id, WorkerHealth())
        health.failed_jobs.add(job_id)
        self.workers_by_job.setdefault(job_id, set()).add(worker_id)
        self.failure_counts[job_id] += 1
        if self.fails_everywhere(job_id):
            self._clear_workers(job_id)
            return False
        if not health.on_trial and len(health.failed_jobs) < WORKER_FAILED_JOBS_LIMIT:
            return False
        self._quarantine(worker_id, health, now_s)
        return True

    def record_success(self, job_id: str, workers: tuple[str, ...]) -> None:
        """Remove the failures of a finished job, and those on the VMs that it ran on."""
        for worker_id in workers:
            self.workers.pop(worker_id, None)
        self.remove_failures(job_id)

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether a job failed so often that its failures don't count against the VMs."""
        if self.failure_counts[job_id] >= JOB_FAILURE_LIMIT:
            return True
        return len(self.workers_by_job.get(job_id, ())) >= JOB_FAILED_VMS_LIMIT

    def failed_workers(self, job_id: str) -> set[str]:
        """Return the VMs that a job failed on."""
        return self.workers_by_job.get(job_id, set())

    def retry_delay_s(self, job_id: str) -> float:
        """Return the delay before a failed job is retried, in seconds."""
        return INITIAL_RETRY_DELAY_S * 2 ** max(0, self.failure_counts[job_id] - 1)

    def remove_failures(self, job_id: str) -> None:
        """Remove the failures of a job; they still count against the VMs."""
        self.workers_by_job.pop(job_id, None)
        self.failure_counts.pop(job_id, None)

    def start_due_trials(self, now_s: float) -> list[str]:
        """Put the VMs whose quarantine has ended on trial, and return them."""
        due = [
            worker_id
            for worker_id, health in self.workers.items()
            if health.quarantined_until_s is not None and health.quarantined_until_s <= now_s
        ]
        for worker_id in due:
            health = self.workers[worker_id]
            health.quarantined_until_s = None
            health.on_trial = True
        return due

    def next_trial_s(self) -> float:
        """Return when the next quarantine ends, in seconds; infinity for never."""
        times = [health.quarantined_until_s for health in self.workers.values()]
        return min((at_s for at_s in times if at_s is not None), default=math.inf)

    def _quarantine(self, worker_id: str, health: WorkerHealth, now_s: float) -> None:
        health.quarantined_until_s = now_s + health.quarantine_s
        health.quarantine_s = min(MAX_QUARANTINE_S, 2 * health.quarantine_s)
        health.on_trial = False
        for job_id in health.failed_jobs:
            self.workers_by_job.get(job_id, set()).discard(worker_id)
        health.failed_jobs.clear()

    def _clear_workers(self, job_id: str) -> None:
        for health in self.workers.values():
            health.failed_jobs.discard(job_id)

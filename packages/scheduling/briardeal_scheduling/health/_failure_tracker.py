"""Failures counted against the VM and against the job, until one of them is cleared."""

from __future__ import annotations

import math
from collections import Counter

import attrs

WORKER_FAILED_JOBS_LIMIT = 3
"""Different jobs that fail on a VM, with no success between, until it is set aside."""

JOB_FAILED_VMS_LIMIT = 3
"""Different VMs that a job fails on until it is given up."""

JOB_FAILURE_LIMIT = 6
"""Failures of a job, on whichever VMs, until it is given up."""

INITIAL_QUARANTINE_S = 600.0
"""Time until a VM that was set aside is tried again, doubled with every failed try."""

MAX_QUARANTINE_S = 6 * 3600.0

INITIAL_RETRY_DELAY_S = 30.0
"""Time until a failed job is tried elsewhere, doubled with every failure."""


@attrs.define
class WorkerHealth:
    """Evidence on one VM.

    Attributes
    ----------
    failures
        Jobs that failed on it since the last success.
    set_aside_until_s
        When it is tried again, or `None` while it is in use.
    on_trial
        Whether it is back in use until its next failure or success.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    quarantined_until_s: float | None = None
    quarantine_s: float = INITIAL_QUARANTINE_S
    on_trial: bool = False


@attrs.define
class FailureTracker:
    """Evidence on all VMs and jobs."""

    workers: dict[str, WorkerHealth] = attrs.field(factory=dict)
    workers_by_job: dict[str, set[str]] = attrs.field(factory=dict)
    failure_counts: Counter[str] = attrs.field(factory=Counter)

    def record_failure(self, job_id: str, worker_id: str, now_s: float) -> bool:
        """Count a failure and return whether the VM is set aside because of it."""
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
        """Clear the VMs that a job ran well on."""
        for worker_id in workers:
            self.workers.pop(worker_id, None)
        self.forget_job(job_id)

    def fails_everywhere(self, job_id: str) -> bool:
        """Return whether a job failed on so many VMs that it is itself the cause."""
        if self.failure_counts[job_id] >= JOB_FAILURE_LIMIT:
            return True
        return len(self.workers_by_job.get(job_id, ())) >= JOB_FAILED_VMS_LIMIT

    def failed_workers(self, job_id: str) -> set[str]:
        """Return the VMs that a job failed on."""
        return self.workers_by_job.get(job_id, set())

    def retry_delay_s(self, job_id: str) -> float:
        """Return how long a failed job waits before it is tried again."""
        return INITIAL_RETRY_DELAY_S * 2 ** max(0, self.failure_counts[job_id] - 1)

    def forget_job(self, job_id: str) -> None:
        """Drop the evidence on a job that is over; what it says of VMs stays."""
        self.workers_by_job.pop(job_id, None)
        self.failure_counts.pop(job_id, None)

    def start_due_trials(self, now_s: float) -> list[str]:
        """Return the VMs that are to be tried again, and take them back on trial."""
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
        """Return when the next VM is to be tried again; infinity for never."""
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

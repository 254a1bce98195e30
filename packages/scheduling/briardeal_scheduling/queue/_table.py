"""Table of the jobs that have not finished."""

from __future__ import annotations

from collections import Counter

import attrs

from briardeal_scheduling.queue._job import Job, JobPhase


@attrs.define
class JobTable:
    """Jobs by name and by phase.

    Attributes
    ----------
    stopping
        Jobs that were ordered to stop.
    quota_used
        Accelerators counted against the quota of each customer.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    waiting: dict[str, Job] = attrs.field(factory=dict)
    reclaiming: dict[str, Job] = attrs.field(factory=dict)
    stopping: dict[str, Job] = attrs.field(factory=dict)
    quota_used: Counter[str] = attrs.field(factory=Counter)

    def add(self, job: Job) -> None:
        """Add a job in its phase."""
        self.jobs[job.job_id] = job
        self.reindex(job)

    def reindex(self, job: Job) -> None:
        """Update the indexes after a change of a job's phase or preempt mode."""
        for index, phase in (
            (self.waiting, JobPhase.WAITING),
            (self.reclaiming, JobPhase.RECLAIMING),
        ):
            if job.phase is phase:
                index[job.job_id] = job
            else:
                index.pop(job.job_id, None)
        if job.preempt_mode:
            self.stopping[job.job_id] = job
        else:
            self.stopping.pop(job.job_id, None)

    def remove(self, job: Job) -> None:
        """Remove a job that has finished."""
        for index in (self.jobs, self.waiting, self.reclaiming, self.stopping):
            index.pop(job.job_id, None)

    def count_quota(self, job: Job, sign: int = 1) -> None:
        """Count a job's accelerators against its customer's quota, or no longer with sign -1."""
        self.quota_used[job.request.customer] += sign * job.accelerators

"""Load on the planner of which an entry refuses jobs by estimates of their ends."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_standins.planning_load._simulation import Simulation
from briardeal_standins.planning_load._workload import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_standins.planning_load._simulation import JobResult
    from briardeal_standins.planning_load._workload import Fleet, OfferedJob
    from briardeal_workflow.admission import AdmissionPolicy, AdmissionSummary
    from briardeal_workflow.planning import JobOrder

SUMMARY_INTERVAL_S = 1.0
MAX_RETRIES = 4
"""Number of times that callers try again after a refusal."""

USE_FACTOR = 3.0
"""Multiple of its objective until which a job is of use."""


@attrs.define
class AdmissionReport:
    """What became of the jobs that callers handed in.

    Attributes
    ----------
    jobs, accepted, refusals
        Number of jobs, of those accepted, and of refused calls.
    in_time, of_use
        Number of accepted jobs that ended within their objective, and within three times it.
    """

    jobs: int = 0
    accepted: int = 0
    refusals: int = 0
    in_time: int = 0
    of_use: int = 0

    def add(self, result: JobResult, *, accepted: bool) -> None:
        """Add the result of one job."""
        self.jobs += 1
        self.accepted += accepted
        self.in_time += result.took_s <= result.objective_s
        self.of_use += result.took_s <= USE_FACTOR * result.objective_s


class AdmittingSimulation(Simulation):
    """A planner, its VMs, and callers whose jobs an admission policy may refuse.

    Parameters
    ----------
    policy
        Decides on each job; `None` accepts all.

    Attributes
    ----------
    accepted
        IDs of accepted jobs.
    refused_s
        Times of refused calls.
    returned_s
        Times at which callers returned after a refusal.
    """

    def __init__(
        self,
        fleet: Fleet,
        workload: Sequence[OfferedJob],
        started_s: float,
        job_order: JobOrder | None = None,
        policy: AdmissionPolicy | None = None,
    ) -> None:
        super().__init__(fleet, workload, started_s, job_order)
        self.policy = policy
        self.accepted: set[str] = set()
        self.refused_s: list[float] = []
        self.returned_s: list[float] = []
        self._tries: dict[str, int] = {}
        self._summary: AdmissionSummary | None = None
        self._at(0.0, self._summarize)

    def report(self) -> dict[str, AdmissionReport]:
        """Return what became of the jobs of each queue."""
        reports = {name: AdmissionReport() for name in CONFIGURATION.queues_by_name}
        for job_id, result in self.results.items():
            report = reports[result.offered.job.queue]
            report.add(result, accepted=job_id in self.accepted)
            report.refusals += self._tries.get(job_id, 0)
        return reports

    def _summarize(self, now_s: float) -> None:
        self._summary = self.planner.summarize(now_s, self.started_s + now_s)
        self._at(now_s + SUMMARY_INTERVAL_S, self._summarize)

    def _submit(self, offered: OfferedJob, now_s: float) -> None:
        queue = CONFIGURATION.queues_by_name[offered.job.queue]
        job = msgspec.structs.replace(
            offered.job, accepted_s=self.started_s + now_s, terms=queue.terms
        )
        offered = attrs.evolve(offered, job=job, submitted_s=now_s)
        self.results[job.job_id].offered = offered
        if self.policy is not None:
            guaranteed = CONFIGURATION.guaranteed_accelerators_of(job.customer)
            decision = self.policy.decide(job, self._summary, guaranteed)
            if decision.reason is not None:
                self._refuse(offered, math.ceil(decision.retry_after_s), now_s)
                return
        self.accepted.add(job.job_id)
        super()._submit(offered, now_s)

    def _refuse(self, offered: OfferedJob, retry_after_s: int, now_s: float) -> None:
        job_id = offered.job.job_id
        self.refused_s.append(now_s)
        self._tries[job_id] = self._tries.get(job_id, 0) + 1
        if self._tries[job_id] <= MAX_RETRIES:
            self._at(now_s + retry_after_s, lambda at_s: self._return(offered, at_s))

    def _return(self, offered: OfferedJob, now_s: float) -> None:
        self.returned_s.append(now_s)
        self._submit(offered, now_s)

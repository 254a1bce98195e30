"""Decision whether a job handed in now is accepted."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from briardeal_core.reasons import Reason
from briardeal_workflow.admission._estimate import estimate_end
from briardeal_workflow.admission._fit import find_misfit

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from briardeal_workflow.admission._estimate import Estimate
    from briardeal_workflow.admission._summary import AdmissionSummary
    from briardeal_workflow.model import Job

MIN_RETRY_S = 2.0
"""Shortest delay that refused callers are asked to wait; a new summary is made each second."""

MAX_RETRY_S = 30.0
"""Longest such delay before it is spread: work is cancelled and capacity returns meanwhile."""

MIN_RETRY_SPREAD_S = 4.0
"""Least width of the range from which the delay is drawn. The header counts whole seconds, so that
a narrower range would bring the callers back together."""

MISFIT_RETRY_S = 60.0
"""Delay for a job that never fits; only another set of VMs can change the answer."""

URGENT = 0
"""Priority of the jobs that guarantees are for."""


class Admission(enum.StrEnum):
    """What becomes of a job that is handed in."""

    ACCEPTED = "accepted"
    """It is expected to be in time, or nothing speaks against it."""
    WAITS = "accepted_waits"
    """It is expected to be late, and may still be of use."""
    UNSURE = "accepted_unsure"
    """There is no recent summary, or its end can't be estimated."""
    GUARANTEED = "accepted_guaranteed"
    """It is inside the guarantee of its customer."""
    REFUSED = "refused"
    """Even by the optimistic estimate, its result comes too late to be of use."""
    NEVER_FITS = "never_fits"
    """No set of VMs of the last minutes holds it."""


@attrs.frozen
class Decision:
    """Decision on a job.

    Parameters
    ----------
    admission
        What becomes of the job.
    reason
        Reason of a refusal, otherwise `None`.
    retry_after_s
        Time after which the caller may try again, in seconds; `None` if the job is accepted.
    detail
        Sentence for readers of a refusal.
    estimate
        Estimate by which it was decided; `None` if none was needed.
    """

    admission: Admission
    reason: Reason | None = None
    retry_after_s: float | None = None
    detail: str = ""
    estimate: Estimate | None = None


class AdmissionPolicy:
    """Decides on jobs by the owner's summary, for callers that compete for too little capacity.

    Without it, jobs that can't be in time hold capacity, and callers learn nothing before their
    result has become useless. A refusal is final for the call, so it takes the certainty that the
    result would come too late: at twice the capacity for some seconds, jobs are merely late.

    Parameters
    ----------
    rng
        Source of the spread of delays, so that refused callers do not return together.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def decide(
        self,
        job: Job,
        summary: AdmissionSummary | None,
        guaranteed_accelerators: int,
        asked_by: Callable[[str], int] | None = None,
    ) -> Decision:
        """Return the decision on a job that is not stored.

        Parameters
        ----------
        job
            Job with the terms of its queue.
        summary
            Recent summary of the owner; `None` if there is none.
        guaranteed_accelerators
            Accelerators guaranteed to the customer.
        asked_by
            Returns the accelerators that the unfinished urgent jobs of a customer ask for, by the
            records that this entry has read; `None` if it has none.
        """
        service = None if summary is None else summary.service(job.service)
        if summary is None or service is None:
            return Decision(Admission.UNSURE)
        misfit = find_misfit(job, service)
        if misfit:
            retry_after_s = self.rng.uniform(MISFIT_RETRY_S, 2 * MISFIT_RETRY_S)
            return Decision(
                Admission.NEVER_FITS, Reason.JOB_NEVER_FITS, retry_after_s, detail=misfit
            )
        if job.has_schedule or any(step.long_running for step in job.steps):
            return Decision(Admission.ACCEPTED)
        if _is_guaranteed(job, summary, guaranteed_accelerators, asked_by):
            return Decision(Admission.GUARANTEED)
        estimate = estimate_end(job, service)
        if estimate is None:
            return Decision(Admission.UNSURE)
        if not estimate.is_useless:
            admission = Admission.WAITS if estimate.will_wait else Admission.ACCEPTED
            return Decision(admission, estimate=estimate)
        return Decision(
            Admission.REFUSED,
            Reason.JOB_TOO_LATE,
            self._draw_delay_s(estimate),
            f"It would end in {estimate.optimistic_s:.1f} s at the earliest, and is of use within"
            f" {estimate.limit_s:.1f} s.",
            estimate,
        )

    def _draw_delay_s(self, estimate: Estimate) -> float:
        """Return a random delay from the time on by which the job could be of use again."""
        excess_s = estimate.optimistic_s - estimate.limit_s
        least_s = min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))
        return self.rng.uniform(least_s, least_s + max(MIN_RETRY_SPREAD_S, least_s))


def _is_guaranteed(
    job: Job,
    summary: AdmissionSummary,
    guaranteed_accelerators: int,
    asked_by: Callable[[str], int] | None,
) -> bool:
    """Return whether a job is, or may be, inside the guarantee of its customer."""
    if job.terms.priority != URGENT or guaranteed_accelerators <= 0:
        return False
    asked = summary.asked_by(job.customer)
    own = job.steps[0].tasks * job.steps[0].accelerators
    if asked is None or asked + own <= guaranteed_accelerators:
        return True
    # Jobs may have ended since the summary was made.
    return asked_by is not None and asked_by(job.customer) + own <= guaranteed_accelerators

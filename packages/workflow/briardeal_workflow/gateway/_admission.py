"""Admission of jobs on an entry: which calls are decided, and what is recorded of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardeal_workflow.admission import AdmissionPolicy, AdmissionSummary, Decision
    from briardeal_workflow.metrics import WorkflowMetrics
    from briardeal_workflow.model import Job

PASSED = "deadline_passed"
"""Outcome of a call that comes after its deadline, in the metric of decisions."""

PASSED_RETRY_S = 1.0
"""Delay for a call that comes after its deadline; the entry or the network held it up."""


@attrs.frozen
class Admitted:
    """Outcome of a decision.

    Parameters
    ----------
    refusal
        Refusal for the caller; `None` if the job is accepted.
    inputs
        What the refusal was decided from, as log fields.
    """

    refusal: Refusal | None
    inputs: dict[str, object] = attrs.field(factory=dict)


class AdmissionControl:
    """Asks the policy about each job that is not stored yet.

    Parameters
    ----------
    policy
        Decides by the summary of the owner.
    find_summary
        Returns the owner's summary; `None` if there is none that is recent enough.
    guarantee_of
        Returns the accelerators guaranteed to a customer.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        find_summary: Callable[[], AdmissionSummary | None],
        guarantee_of: Callable[[str], int],
    ) -> None:
        self.policy = policy
        self.find_summary = find_summary
        self.guarantee_of = guarantee_of

    def check(
        self,
        job: Job,
        left_s: float,
        metrics: WorkflowMetrics,
        asked_by: Callable[[str], int],
    ) -> Admitted:
        """Decide on a job that is neither stored nor possibly stored.

        Parameters
        ----------
        left_s
            Time until the caller stops waiting, in seconds.
        asked_by
            Returns the accelerators that the unfinished urgent jobs of a customer ask for.
        """
        if left_s <= 0:
            metrics.admissions.inc({"queue": job.queue, "outcome": PASSED})
            return Admitted(
                Refusal(Reason.DEADLINE_PASSED, RunState.NOT_RUN, PASSED_RETRY_S),
                {"left_s": round(left_s, 3)},
            )
        guaranteed = self.guarantee_of(job.customer)
        decision = self.policy.decide(job, self.find_summary(), guaranteed, asked_by)
        metrics.admissions.inc({"queue": job.queue, "outcome": decision.admission.value})
        if decision.reason is None:
            return Admitted(None)
        refusal = Refusal(
            decision.reason, RunState.NOT_RUN, decision.retry_after_s, decision.detail
        )
        return Admitted(refusal, _log_fields(decision))


def _log_fields(decision: Decision) -> dict[str, object]:
    """Return the estimate and its inputs as log fields."""
    if decision.estimate is None:
        return {}
    fields = {name: round(value, 2) for name, value in attrs.asdict(decision.estimate).items()}
    return {**fields, "retry_after_s": round(decision.retry_after_s or 0.0, 2)}

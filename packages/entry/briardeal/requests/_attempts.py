"""Outcomes of the attempts at one request, and the decision to retry it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import attrs

from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal.requests._request import Request

ATTEMPTS_MAX = 4

RETRYABLE_REASONS = {
    Reason.ENDPOINT_FAILED,
    Reason.ENDPOINT_DECLINED,
    Reason.ANSWER_CUT,
    Reason.ENTRY_DELAYED,
}
"""Reasons after which another endpoint may succeed."""


@attrs.define
class Attempts:
    """Outcomes of the attempts at one request so far.

    Parameters
    ----------
    request
        Request that is attempted.
    failed_agent_ids
        Agents whose endpoint answered with a failure or gave no complete answer.
    outcomes
        Outcome of each attempt, in order.
    """

    request: Request
    failed_agent_ids: set[str] = attrs.field(factory=set)
    outcomes: list[Answer | Refusal] = attrs.field(factory=list)

    @property
    def run_state(self) -> RunState:
        """Whether any attempt ran the request, as far as is known."""
        states = {
            RunState.RAN if isinstance(outcome, Answer) else outcome.run_state
            for outcome in self.outcomes
        }
        for state in (RunState.RAN, RunState.UNKNOWN):
            if state in states:
                return state
        return RunState.NOT_RUN

    def may_retry(self) -> bool:
        """Return whether another attempt is allowed and may succeed after the newest outcome."""
        newest = self.outcomes[-1]
        if len(self.outcomes) >= ATTEMPTS_MAX:
            return False
        if isinstance(newest, Answer):
            return newest.failed and self.request.idempotent
        if newest.reason not in RETRYABLE_REASONS:
            return False
        return self.request.idempotent or self.run_state is RunState.NOT_RUN

    def final_outcome(self) -> Answer | Refusal:
        """Return the outcome that the caller receives.

        A complete answer takes precedence over a refusal, even if its status is a server error.
        A refusal states `NOT_RUN` only if no attempt can have run the request.
        """
        newest = self.outcomes[-1]
        if isinstance(newest, Answer):
            return newest
        answers = [outcome for outcome in self.outcomes if isinstance(outcome, Answer)]
        if answers:
            return answers[-1]
        return replace(newest, run_state=self.run_state)

"""What the attempts at one request tell together."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import attrs

from briardeal.requests._request import Answer
from briardeal_core.reasons import Reason, Refusal, RunState

if TYPE_CHECKING:
    from briardeal.requests._request import Request

ATTEMPTS_MAX = 4

WORTH_RETRYING = {
    Reason.ENDPOINT_FAILED,
    Reason.ENDPOINT_DECLINED,
    Reason.ANSWER_CUT,
    Reason.ENTRY_DELAYED,
}
"""Reasons after which another endpoint may do better."""


@attrs.define
class Attempts:
    """Outcomes of the attempts at one request so far.

    Parameters
    ----------
    request
        The request.
    failed
        Endpoints that it was sent to in vain.
    outcomes
        What came of each attempt, in order.
    """

    request: Request
    failed: set[str] = attrs.field(factory=set)
    outcomes: list[Answer | Refusal] = attrs.field(factory=list)

    @property
    def run_state(self) -> RunState:
        """Whether the request ran in any attempt."""
        states = {
            RunState.RAN if isinstance(outcome, Answer) else outcome.run_state
            for outcome in self.outcomes
        }
        for state in (RunState.RAN, RunState.UNKNOWN):
            if state in states:
                return state
        return RunState.NOT_RUN

    def may_retry(self) -> bool:
        """Return whether the newest outcome allows another attempt and gives reason for it."""
        newest = self.outcomes[-1]
        if len(self.outcomes) >= ATTEMPTS_MAX:
            return False
        if isinstance(newest, Answer):
            return newest.failed and self.request.idempotent
        if newest.reason not in WORTH_RETRYING:
            return False
        return self.request.idempotent or self.run_state is RunState.NOT_RUN

    def final(self) -> Answer | Refusal:
        """Return the outcome that the caller is told.

        A whole answer goes before a refusal, also where it tells of a failure, and `NOT_RUN` is
        told only when no attempt can have run.
        """
        newest = self.outcomes[-1]
        if isinstance(newest, Answer):
            return newest
        answers = [outcome for outcome in self.outcomes if isinstance(outcome, Answer)]
        if answers:
            return answers[-1]
        return replace(newest, run_state=self.run_state)

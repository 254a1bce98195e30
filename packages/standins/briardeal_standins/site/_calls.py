"""Record of the calls of callers and their outcomes."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class Call:
    """One call of a caller and its outcome.

    Parameters
    ----------
    body
        Body of the request; calls with the same body repeat the same request.
    idempotent
        Whether the request may run more than once.
    deadline_s
        Deadline of the call, on the loop's clock.
    outcome
        `answer` if the request was answered, `ran` if it ran and failed, or the run state of the
        refusal; empty until the call ends.
    answer
        Body of the answer.
    reason
        Code of the reason of a refusal.
    retry_after_s
        Time after which the caller may retry, in seconds; 0 if none was given.
    ended_s
        When the call ended, on the loop's clock.
    entry_halted
        Whether the entry was killed or paused during the call, so that it could not answer in time.
    """

    body: bytes
    idempotent: bool
    deadline_s: float
    outcome: str = ""
    answer: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0
    ended_s: float = 0.0
    entry_halted: bool = False

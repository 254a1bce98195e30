"""What callers were told."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class Call:
    """One call of a caller and what it was told.

    Parameters
    ----------
    body
        Content; calls with the same content repeat the same request.
    idempotent
        Whether the request may run more than once.
    deadline_s
        When the caller gives up, on the loop's clock.
    outcome
        `answer`, or the run state of the refusal; empty while there is none.
    answer
        Content of the answer.
    reason
        Code of the reason for a refusal.
    retry_after_s
        When to come back, in seconds; 0 where nothing was said.
    ended_s
        When the caller was told, on the loop's clock.
    entry_halted
        Whether the entry was killed or paused meanwhile, so that it could tell nothing in time.
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

"""The outcome of work that did not succeed."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_core.reasons._catalogue import Reason


class RunState(enum.StrEnum):
    """Whether the work that an answer speaks of ran."""

    NOT_RUN = "not_run"
    """It is certain that the work did not run."""
    RAN = "ran"
    """It is certain that the work ran."""
    UNKNOWN = "unknown"
    """The work may or may not have run."""


@dataclass(frozen=True)
class Refusal:
    """An outcome other than success.

    Parameters
    ----------
    reason
        Why.
    run_state
        Whether the work ran.
    retry_after_s
        When asking again makes sense, in seconds; `None` where it never does.
    detail
        A sentence that adds particulars to that of the reason.
    """

    reason: Reason
    run_state: RunState
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def sentence(self) -> str:
        """The whole explanation."""
        return f"{self.reason.sentence} {self.detail}".strip()

"""The outcome of a request or job that did not succeed."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardeal_core.reasons._catalogue import Reason


class RunState(enum.StrEnum):
    """Whether the request or job that an answer refers to has run."""

    NOT_RUN = "not_run"
    """It certainly did not run."""
    RAN = "ran"
    """It certainly ran."""
    UNKNOWN = "unknown"
    """It may or may not have run."""


@dataclass(frozen=True)
class Refusal:
    """An outcome other than success.

    Parameters
    ----------
    reason
        Reason of the outcome.
    run_state
        Whether the request or job ran.
    retry_after_s
        Time after which a retry may succeed, in seconds; `None` if no retry can.
    detail
        Sentence with details, shown after the sentence of the reason.
    """

    reason: Reason
    run_state: RunState
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def sentence(self) -> str:
        """The sentence of the reason, followed by the details."""
        return f"{self.reason.sentence} {self.detail}".strip()

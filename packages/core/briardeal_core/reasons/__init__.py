"""Reasons for unsuccessful outcomes, listed in `docs/user-guide/reasons.md`."""

from briardeal_core.reasons._catalogue import Reason
from briardeal_core.reasons._refusal import Refusal, RunState

__all__ = ["Reason", "Refusal", "RunState"]

"""What is allowed in each field of the configuration."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs

from briardeal_core.configuration._model import (
    Adjacency,
    Configuration,
    Customer,
    Guarantee,
    JobClass,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

MAX_NAME_LENGTH = 100
MAX_VMS = 10_000
MAX_ACCELERATORS = 100_000


@attrs.frozen
class Limit:
    """What a field allows.

    Parameters
    ----------
    allowed
        The rule, for the error message.
    holds
        Returns whether a value of the right type keeps the rule.
    """

    allowed: str
    holds: Callable[[Any], bool] = lambda _: True


def _whole(low: int, high: int) -> Limit:
    return Limit(f"a whole number from {low} to {high}", lambda value: low <= value <= high)


_NAME = Limit(
    f"a text of 1 to {MAX_NAME_LENGTH} characters",
    lambda value: len(value.strip()) > 0 and len(value) <= MAX_NAME_LENGTH,
)
_SECONDS = Limit("a number of seconds above 0", lambda value: 0 < value < math.inf)

LIMITS: dict[tuple[type[msgspec.Struct], str], Limit] = {
    (JobClass, "name"): _NAME,
    (JobClass, "finish_within_s"): _SECONDS,
    (JobClass, "start_within_s"): Limit(
        f"{_SECONDS.allowed}, or nothing", lambda value: value is None or _SECONDS.holds(value)
    ),
    (Guarantee, "job_class"): _NAME,
    (Guarantee, "vms"): _whole(1, MAX_VMS),
    (Guarantee, "accelerators_per_vm"): _whole(1, MAX_ACCELERATORS),
    (Guarantee, "adjacency"): Limit("one of " + ", ".join(Adjacency)),
    (Customer, "name"): _NAME,
    (Customer, "quota_accelerators"): Limit(
        f"a whole number from 0 to {MAX_ACCELERATORS}, or nothing",
        lambda value: value is None or 0 <= value <= MAX_ACCELERATORS,
    ),
    (Customer, "request_share"): Limit("a number from 0 to 1", lambda value: 0 <= value <= 1),
    (Configuration, "failure_margin_vms"): _whole(0, MAX_VMS),
}

"""Validation rules for the values of single configuration fields."""

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
class FieldRule:
    """The values that a field accepts.

    Parameters
    ----------
    allowed
        Description of the allowed values for error messages.
    is_allowed
        Function that returns whether a value of the expected type is allowed.
    """

    allowed: str
    is_allowed: Callable[[Any], bool] = lambda _: True


def _integer_range(low: int, high: int) -> FieldRule:
    return FieldRule(f"a whole number from {low} to {high}", lambda value: low <= value <= high)


_NAME = FieldRule(
    f"a text of 1 to {MAX_NAME_LENGTH} characters",
    lambda value: len(value.strip()) > 0 and len(value) <= MAX_NAME_LENGTH,
)
_SECONDS = FieldRule("a number of seconds above 0", lambda value: 0 < value < math.inf)

FIELD_RULES: dict[tuple[type[msgspec.Struct], str], FieldRule] = {
    (JobClass, "name"): _NAME,
    (JobClass, "finish_within_s"): _SECONDS,
    (JobClass, "start_within_s"): FieldRule(
        f"{_SECONDS.allowed}, or nothing", lambda value: value is None or _SECONDS.is_allowed(value)
    ),
    (Guarantee, "job_class"): _NAME,
    (Guarantee, "vms"): _integer_range(1, MAX_VMS),
    (Guarantee, "accelerators_per_vm"): _integer_range(1, MAX_ACCELERATORS),
    (Guarantee, "adjacency"): FieldRule("one of " + ", ".join(Adjacency)),
    (Customer, "name"): _NAME,
    (Customer, "quota_accelerators"): FieldRule(
        f"a whole number from 0 to {MAX_ACCELERATORS}, or nothing",
        lambda value: value is None or 0 <= value <= MAX_ACCELERATORS,
    ),
    (Customer, "request_share"): FieldRule("a number from 0 to 1", lambda value: 0 <= value <= 1),
    (Configuration, "failure_margin_vms"): _integer_range(0, MAX_VMS),
}

"""Validation rules that involve more than one field of the configuration."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.configuration._model import Customer, Guarantee, JobClass
from briardeal_core.configuration.document._yaml_reader import suggest

if TYPE_CHECKING:
    from briardeal_core.configuration.document._yaml_reader import YamlReader

_CLASS_NAME = re.compile(r"classes\[\d+\]\.name")
_CUSTOMER_NAME = re.compile(r"customers\[\d+\]\.name")


def check_references(reader: YamlReader) -> None:
    """Add the errors that involve several fields but not the workers."""
    _check_unique_names(reader, _CLASS_NAME)
    _check_unique_names(reader, _CUSTOMER_NAME)
    _check_classes_known(reader)
    _check_start_targets(reader)
    _check_quotas(reader)
    _check_request_shares(reader)


def _check_unique_names(reader: YamlReader, pattern: re.Pattern[str]) -> None:
    names = {path: value for path, value in reader.values.items() if pattern.fullmatch(path)}
    seen: set[str] = set()
    for path, name in names.items():
        if name in seen:
            reader.add_error(path, f"{path} {name!r} is used twice.")
        seen.add(name)


def _check_classes_known(reader: YamlReader) -> None:
    known = {value for path, value in reader.values.items() if _CLASS_NAME.fullmatch(path)}
    for path, value in reader.values.items():
        if path.endswith(".job_class") and value not in known:
            message = f"{path} is {value!r}, but there is no such class.{suggest(value, known)}"
            reader.add_error(path, message)


def _check_start_targets(reader: YamlReader) -> None:
    for path, value in reader.values.items():
        if not isinstance(value, JobClass) or value.start_within_s is None:
            continue
        if value.start_within_s > value.finish_within_s:
            message = (
                f"{path}.start_within_s is {value.start_within_s:g} s, later than "
                f"finish_within_s, {value.finish_within_s:g} s."
            )
            reader.add_error(f"{path}.start_within_s", message)


def _check_quotas(reader: YamlReader) -> None:
    for path, value in reader.values.items():
        if not isinstance(value, Customer) or value.quota_accelerators is None:
            continue
        guaranteed = sum(count_accelerators(item) for item in value.guarantees)
        if guaranteed > value.quota_accelerators:
            parts = " + ".join(
                f"{item.vms} x {item.accelerators_per_vm}" for item in value.guarantees
            )
            message = (
                f"customer {value.name!r} is guaranteed {parts} = {guaranteed} accelerators, "
                f"above its quota of {value.quota_accelerators}."
            )
            reader.add_error(f"{path}.quota_accelerators", message)


def _check_request_shares(reader: YamlReader) -> None:
    customers = [value for value in reader.values.values() if isinstance(value, Customer)]
    shares = Counter({item.name: item.request_share for item in customers if item.request_share})
    total = sum(shares.values())
    if total > 1 + _SHARE_TOLERANCE:
        parts = " + ".join(f"{share:g} ({name})" for name, share in shares.items())
        message = f"the values of request_share add up to {parts} = {total:g}; allowed: at most 1."
        reader.add_error("customers", message)


_SHARE_TOLERANCE = 1e-9


def count_accelerators(guarantee: Guarantee) -> int:
    """Return the total number of accelerators of one guarantee."""
    return guarantee.vms * guarantee.accelerators_per_vm

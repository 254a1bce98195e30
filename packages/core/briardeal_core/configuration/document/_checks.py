"""Checks that involve more than one field of the configuration."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from briardeal_core.configuration._model import Customer, Guarantee, JobClass
from briardeal_core.configuration.document._tree import suggest

if TYPE_CHECKING:
    from briardeal_core.configuration.document._tree import TreeReader

_CLASS_NAME = re.compile(r"classes\[\d+\]\.name")
_CUSTOMER_NAME = re.compile(r"customers\[\d+\]\.name")


def check_references(tree: TreeReader) -> None:
    """Add the mistakes that involve several fields but no worker."""
    _check_unique(tree, _CLASS_NAME)
    _check_unique(tree, _CUSTOMER_NAME)
    _check_classes_known(tree)
    _check_starts(tree)
    _check_quotas(tree)
    _check_shares(tree)


def _check_unique(tree: TreeReader, pattern: re.Pattern[str]) -> None:
    names = {path: value for path, value in tree.values.items() if pattern.fullmatch(path)}
    seen: set[str] = set()
    for path, name in names.items():
        if name in seen:
            tree.add_mistake(path, f"{path} {name!r} is used twice.")
        seen.add(name)


def _check_classes_known(tree: TreeReader) -> None:
    known = {value for path, value in tree.values.items() if _CLASS_NAME.fullmatch(path)}
    for path, value in tree.values.items():
        if path.endswith(".job_class") and value not in known:
            sentence = f"{path} is {value!r}, but there is no such class.{suggest(value, known)}"
            tree.add_mistake(path, sentence)


def _check_starts(tree: TreeReader) -> None:
    for path, value in tree.values.items():
        if not isinstance(value, JobClass) or value.start_within_s is None:
            continue
        if value.start_within_s > value.finish_within_s:
            sentence = (
                f"{path}.start_within_s is {value.start_within_s:g} s, later than "
                f"finish_within_s, {value.finish_within_s:g} s."
            )
            tree.add_mistake(f"{path}.start_within_s", sentence)


def _check_quotas(tree: TreeReader) -> None:
    for path, value in tree.values.items():
        if not isinstance(value, Customer) or value.quota_accelerators is None:
            continue
        guaranteed = sum(count_accelerators(item) for item in value.guarantees)
        if guaranteed > value.quota_accelerators:
            parts = " + ".join(
                f"{item.vms} x {item.accelerators_per_vm}" for item in value.guarantees
            )
            sentence = (
                f"customer {value.name!r} is guaranteed {parts} = {guaranteed} accelerators, "
                f"above its quota of {value.quota_accelerators}."
            )
            tree.add_mistake(f"{path}.quota_accelerators", sentence)


def _check_shares(tree: TreeReader) -> None:
    customers = [value for value in tree.values.values() if isinstance(value, Customer)]
    shares = Counter({item.name: item.request_share for item in customers if item.request_share})
    total = sum(shares.values())
    if total > 1 + _ROUNDING:
        parts = " + ".join(f"{share:g} ({name})" for name, share in shares.items())
        sentence = f"the shares of requests add up to {parts} = {total:g}; allowed: at most 1."
        tree.add_mistake("customers", sentence)


_ROUNDING = 1e-9


def count_accelerators(guarantee: Guarantee) -> int:
    """Return the number of accelerators in one guaranteed shape."""
    return guarantee.vms * guarantee.accelerators_per_vm

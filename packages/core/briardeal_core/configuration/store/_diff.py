"""Descriptions of the differences between two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardeal_core.configuration._model import Configuration, Customer, JobClass


def describe_changes(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return the differences between two configurations, one sentence each."""
    changes = _describe_items("Class", old.classes, new.classes)
    changes += _describe_items("Customer", old.customers, new.customers)
    if old.failure_margin_vms != new.failure_margin_vms:
        changes.append(
            f"failure_margin_vms was {old.failure_margin_vms} and is {new.failure_margin_vms}."
        )
    return tuple(changes)


def _describe_items(
    label: str, old: Sequence[JobClass | Customer], new: Sequence[JobClass | Customer]
) -> list[str]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    changes = [f"{label} {name!r} was removed." for name in before if name not in after]
    changes += [f"{label} {name!r} was added." for name in after if name not in before]
    for name in before.keys() & after.keys():
        changes += _describe_fields(f"{label} {name!r}", before[name], after[name])
    return sorted(changes)


def _describe_fields(label: str, old: msgspec.Struct, new: msgspec.Struct) -> list[str]:
    return [
        f"{label}: {field.name} was {_render(getattr(old, field.name))} "
        f"and is {_render(getattr(new, field.name))}."
        for field in msgspec.structs.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _render(value: object) -> str:
    return msgspec.json.encode(value).decode()

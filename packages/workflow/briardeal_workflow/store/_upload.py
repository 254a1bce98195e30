"""Time that records take to reach the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briardeal_workflow.store._interface import Record

UPLOAD_BYTES_PER_S = 125_000
"""Rate at which records cross the slowest link beside other calls, in bytes per second."""

SMALL_BYTES = 16_384
"""Size of records that need no time beyond that for the answer."""


def estimate_upload_s(records: Iterable[Record]) -> float:
    """Return the time that records may take to cross a link, in seconds.

    It is added to the time for the answer, so that an append is not dropped, and begun again from
    the start, because of its size.
    """
    size = sum(len(record.key) + len(record.value or b"") for record in records)
    return max(0, size - SMALL_BYTES) / UPLOAD_BYTES_PER_S

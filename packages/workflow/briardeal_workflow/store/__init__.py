"""Interface to the record store that the platform runs, with a reader and a fenced writer."""

from briardeal_workflow.store._follower import Follower
from briardeal_workflow.store._interface import (
    Appended,
    AppendOutcome,
    Conflict,
    Fenced,
    NotStored,
    OutOfReach,
    Page,
    Position,
    ReadOutcome,
    Record,
    Store,
    Trimmed,
    Unconfirmed,
    ignore_progress,
)
from briardeal_workflow.store._upload import estimate_upload_s
from briardeal_workflow.store._writer import FencedWriter

__all__ = [
    "AppendOutcome",
    "Appended",
    "Conflict",
    "Fenced",
    "FencedWriter",
    "Follower",
    "NotStored",
    "OutOfReach",
    "Page",
    "Position",
    "ReadOutcome",
    "Record",
    "Store",
    "Trimmed",
    "Unconfirmed",
    "estimate_upload_s",
    "ignore_progress",
]

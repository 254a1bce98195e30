"""What the product asks of the store that the platform runs."""

from briardeal_workflow.store._follower import Follower
from briardeal_workflow.store._port import (
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
)
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
]

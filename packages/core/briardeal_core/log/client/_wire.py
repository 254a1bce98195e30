"""Response bodies of the log service, encoded as MessagePack."""

from __future__ import annotations

import msgspec

from briardeal_core.log._model import LogEntry

MSGPACK_TYPE = "application/msgpack"


class AppendedBody(msgspec.Struct, frozen=True):
    """Response to an append that was stored."""

    offset: int
    appended_at_s: float


class BatchBody(msgspec.Struct, frozen=True):
    """Response to a read."""

    entries: tuple[LogEntry, ...]
    next_offset: int
    end_offset: int


class PastRetentionBody(msgspec.Struct, frozen=True):
    """Response to a read from an offset that is no longer retained."""

    oldest_offset: int
    end_offset: int

"""Client of the platform's append-only log: streams of records, snapshots and role claims."""

from briardeal_core.log._claims import (
    CLAIM_SCHEMA,
    Claim,
    ClaimTable,
    RoleAcquired,
    RoleClaim,
    RoleHeldByOther,
    RoleHolder,
)
from briardeal_core.log._follower import FollowerState, StreamFollower, View
from briardeal_core.log._model import (
    Appended,
    EntryBatch,
    Log,
    LogEntry,
    LogUnavailable,
    PastRetention,
)
from briardeal_core.log._queue import Written
from briardeal_core.log._rate_limiter import AppendRateLimiter, Priority
from briardeal_core.log._reader import ReaderCounts, RecordBatch, StreamReader, StreamRecord
from briardeal_core.log._records import (
    BrokenRecord,
    RecordKind,
    Schema,
    UnknownRecord,
    decode_envelope,
    encode_envelope,
)
from briardeal_core.log._snapshot_writer import SnapshotWriter
from briardeal_core.log._snapshots import Snapshot, SnapshotStream, StoredSnapshot
from briardeal_core.log._writer import StreamWriter

__all__ = [
    "CLAIM_SCHEMA",
    "AppendRateLimiter",
    "Appended",
    "EntryBatch",
    "BrokenRecord",
    "Claim",
    "ClaimTable",
    "StreamRecord",
    "RecordBatch",
    "LogEntry",
    "FollowerState",
    "StoredSnapshot",
    "RoleAcquired",
    "RoleHeldByOther",
    "RoleHolder",
    "Log",
    "LogUnavailable",
    "PastRetention",
    "Priority",
    "ReaderCounts",
    "RecordKind",
    "RoleClaim",
    "Schema",
    "Snapshot",
    "SnapshotWriter",
    "SnapshotStream",
    "StreamFollower",
    "StreamReader",
    "StreamWriter",
    "UnknownRecord",
    "View",
    "Written",
    "decode_envelope",
    "encode_envelope",
]

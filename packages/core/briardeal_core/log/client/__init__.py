"""HTTP client of the log service."""

from briardeal_core.log.client._http import HttpLog
from briardeal_core.log.client._wire import (
    MSGPACK_TYPE,
    AppendedBody,
    BatchBody,
    PastRetentionBody,
)

__all__ = ["MSGPACK_TYPE", "AppendedBody", "BatchBody", "HttpLog", "PastRetentionBody"]

"""In-memory client of the stand-in log, for tests on virtual time."""

from __future__ import annotations

import asyncio

from briardeal_core.log import Appended, EntryBatch, LogUnavailable, PastRetention
from briardeal_standins.log._faults import Faults
from briardeal_standins.log._store import LogStore

OUTAGE = "the log is down"
NO_ANSWER = "the log did not answer"


class MemoryLog:
    """Client of a stand-in log with faults of its own.

    Parameters
    ----------
    store
        Store of the streams; a new store by default.
    faults
        Faults between this client and the store; none by default.
    """

    def __init__(self, store: LogStore | None = None, faults: Faults | None = None) -> None:
        self.store = LogStore() if store is None else store
        self.faults = Faults() if faults is None else faults

    async def append(self, stream: str, record: bytes, append_id: str) -> Appended | LogUnavailable:
        """Append one record to a stream."""
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        if self.faults.consume("late_writes"):
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_write_s, self.store.append, stream, record, append_id)
            return LogUnavailable(NO_ANSWER, maybe_written=True)
        appended = self.store.append(stream, record, append_id)
        if self.faults.consume("double_writes"):
            self.store.append(stream, record, append_id)
        if self.faults.consume("lost_acknowledgements"):
            return LogUnavailable(NO_ANSWER, maybe_written=True)
        return appended

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float = 0.0
    ) -> EntryBatch | PastRetention | LogUnavailable:
        """Read up to `limit` entries, waiting up to `wait_s` seconds for the first."""
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        if wait_s > 0:
            await self.store.wait_for_entry(stream, offset, wait_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        batch = self.store.read(stream, offset, limit)
        if (
            isinstance(batch, EntryBatch)
            and batch.entries
            and self.faults.consume("double_deliveries")
        ):
            repeated = tuple(entry for entry in batch.entries for _ in range(2))
            return EntryBatch(repeated, batch.next_offset, batch.end_offset)
        return batch

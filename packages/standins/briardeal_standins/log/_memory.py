"""The stand-in log within the process, for tests on virtual time."""

from __future__ import annotations

import asyncio

from briardeal_core.log import Appended, EntryBatch, LogUnavailable, PastRetention
from briardeal_standins.log._faults import Faults
from briardeal_standins.log._store import LogStore

OUTAGE = "the log is down"
NO_ANSWER = "the log did not answer"


class MemoryLog:
    """One client's way to a stand-in log, with its own faults.

    Parameters
    ----------
    store
        The streams; a new store when not given.
    faults
        The faults between this client and the store.
    """

    def __init__(self, store: LogStore | None = None, faults: Faults | None = None) -> None:
        self.store = LogStore() if store is None else store
        self.faults = Faults() if faults is None else faults

    async def append(self, stream: str, record: bytes, append_id: str) -> Appended | LogUnavailable:
        """Append one record to a stream."""
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        if self.faults.use_one("late_writes"):
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_write_s, self.store.append, stream, record, append_id)
            return LogUnavailable(NO_ANSWER, maybe_written=True)
        appended = self.store.append(stream, record, append_id)
        if self.faults.use_one("double_writes"):
            self.store.append(stream, record, append_id)
        if self.faults.use_one("lost_acknowledgements"):
            return LogUnavailable(NO_ANSWER, maybe_written=True)
        return appended

    async def read(
        self, stream: str, offset: int, limit: int, wait_s: float = 0.0
    ) -> EntryBatch | PastRetention | LogUnavailable:
        """Read at most `limit` entries, waiting up to `wait_s` seconds for the first."""
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        if wait_s > 0:
            await self.store.wait(stream, offset, wait_s)
        if self.faults.outage:
            return LogUnavailable(OUTAGE)
        found = self.store.read(stream, offset, limit)
        if (
            isinstance(found, EntryBatch)
            and found.entries
            and self.faults.use_one("double_deliveries")
        ):
            doubled = tuple(entry for entry in found.entries for _ in range(2))
            return EntryBatch(doubled, found.next_offset, found.end_offset)
        return found

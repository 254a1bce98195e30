"""Queue of records that the owner writes to the log."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from mode import Service

from briardeal_core.log import Written

if TYPE_CHECKING:
    from briardeal.jobs._records import JobRecord
    from briardeal_core.log import StreamWriter

BATCH_LIMIT_RECORDS = 100
RETRY_S = 0.5


class RecordQueue(Service):
    """Writes records in order and retries until the log is available again.

    Parameters
    ----------
    writer
        Writer of the job stream, for the exclusive use of this queue.
    """

    def __init__(self, writer: StreamWriter) -> None:
        super().__init__()
        self.writer = writer
        self.pending: deque[tuple[JobRecord, asyncio.Future[None]]] = deque()
        self._has_records = asyncio.Event()

    def add(self, record: JobRecord) -> asyncio.Future[None]:
        """Queue a record; the returned future completes once it is known to be in the log."""
        future = asyncio.get_running_loop().create_future()
        self.pending.append((record, future))
        self._has_records.set()
        return future

    def clear(self) -> None:
        """Discard all records that have not been written."""
        for _, future in self.pending:
            future.cancel()
        self.pending.clear()

    @Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            await self._has_records.wait()
            self._has_records.clear()
            while self.pending:
                if not await self.flush():
                    await asyncio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Write a batch of queued records; return whether all are known to be in the log."""
        batch = list(self.pending)[:BATCH_LIMIT_RECORDS]
        outcomes = await asyncio.gather(*(self.writer.append(record) for record, _ in batch))
        for pair, outcome in zip(batch, outcomes, strict=True):
            if not isinstance(outcome, Written):
                return False
            if self.pending and self.pending[0] is pair:
                self.pending.popleft()
            if not pair[1].done():
                pair[1].set_result(None)
        return True

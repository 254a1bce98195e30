"""Records of the attempts that owners may have started, by VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.decoding import decode_msgpack
from briardeal_core.events import Event, log_event
from briardeal_workflow.model import TaskId
from briardeal_workflow.store import OutOfReach, Page

if TYPE_CHECKING:
    from collections.abc import Collection

    from briardeal_workflow.store import Record, Store

STARTS_TOPIC = "starts"

READ_TRIES = 3
"""Number of unanswered reads after which a takeover goes on without the records for now."""

READ_LIMIT_S = 1.5
"""Time for all reads of a takeover, after which it goes on without the records for now, too."""

RETRY_PAUSE_S = 0.25
"""Pause before an unanswered read is repeated."""


class StartRecord(msgspec.Struct, frozen=True, array_like=True):
    """Attempts that may run on a VM, as task and number; some of them may have ended since."""

    attempts: tuple[tuple[TaskId, int], ...]


def encode_starts(attempts: Collection[tuple[TaskId, int]]) -> bytes:
    """Return the stored form of the attempts that may run on a VM."""
    return msgspec.msgpack.encode(StartRecord(tuple(attempts)))


class StartRecordReader:
    """Reads the recorded attempts, and goes on after the last page if that takes several tries.

    No earlier owner changes the records any more, so that a page may be read any time after the one
    before it.

    Parameters
    ----------
    store
        Store that contains the records.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self._records: list[Record] = []
        self._after_key = ""
        self._complete = False

    async def read(
        self, required: Collection[str], limit_s: float | None
    ) -> dict[str, tuple[tuple[TaskId, int], ...]] | OutOfReach | None:
        """Return the recorded attempts by VM.

        Returns `OutOfReach` if the store does not answer in time, and `None` if the record of a
        required VM is malformed, each with a log line.

        Parameters
        ----------
        required
            VMs whose records have to be readable.
        limit_s
            Time for all reads, in seconds; `None` for no limit.
        """
        try:
            async with asyncio.timeout(limit_s):
                failure = await self._read_pages()
        except TimeoutError:
            failure = OutOfReach(f"not read in {limit_s} s")
        if failure is not None:
            log_event(Event.LOG_UNAVAILABLE, topic=STARTS_TOPIC, detail=failure.detail)
            return failure
        starts = {}
        for record in self._records:
            try:
                starts[record.key] = decode_msgpack(record.value or b"", StartRecord).attempts
            except msgspec.DecodeError as error:
                log_event(
                    Event.RECORD_BROKEN, key=record.key, offset=record.offset, detail=str(error)
                )
                if record.key in required:
                    return None
        return starts

    async def _read_pages(self) -> OutOfReach | None:
        failures = 0
        while not self._complete:
            page = await self.store.list_newest(STARTS_TOPIC, self._after_key)
            if isinstance(page, Page):
                self._records += page.records
                self._after_key = page.next_key
                self._complete = not page.next_key
                continue
            failures += 1
            if failures == READ_TRIES:
                return OutOfReach(str(page))
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

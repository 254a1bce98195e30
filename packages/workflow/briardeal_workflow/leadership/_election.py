"""Claims of the ownership of jobs, one after the other, in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_workflow.leadership._records import (
    CONTROL_TOPIC,
    ENTRY_PREFIX,
    OWNER_KEY,
    EntryRecord,
    OwnerRecord,
    entry_key,
)
from briardeal_workflow.store import Appended, Conflict, Follower, Record

if TYPE_CHECKING:
    import random

    from briardeal_workflow.store import Store

SILENCE_LIMIT_S = 1.2
"""Time without a word of the owner after which others claim; it says one each 0.3 s."""

SPREAD_S = 0.3
"""Longest random delay before a claim, so that of several entries one goes first."""

STORE_FAILING_LIMIT_S = 1.0
"""Time without the store after which an owner is replaced by an entry that has it."""

FRESH_S = 2.5
"""Most age of what was read before a claim; a reader hears from the store each second."""

CHECK_INTERVAL_S = 0.1
"""Time between two looks whether the owner is lost."""
APPEND_TIMEOUT_S = 1.0
"""Time for one append; a store in order answers within 10 ms."""


class Election:
    """Knows who owns the jobs, and claims the ownership when the owner is lost.

    Parameters
    ----------
    store
        Where claims are kept.
    entry_id, incarnation, address
        This entry, its start, and its control address.
    rng
        Delays claims.

    Attributes
    ----------
    owner
        The newest claim.
    entries
        Control addresses of entries by name.
    elected
        Set while the newest claim is that of this entry.
    previous_ended
        Whether the owner before the newest claim was known to give no more orders.
    """

    def __init__(
        self, store: Store, entry_id: str, incarnation: str, address: str, rng: random.Random
    ) -> None:
        self.store = store
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.address = address
        self.rng = rng
        self.follower = Follower(store, CONTROL_TOPIC, self._apply, wait_s=1.0)
        self.owner: OwnerRecord | None = None
        self.entries: dict[str, str] = {}
        self.elected = asyncio.Event()
        self.heard_s = loop_time()
        self.lost = False
        self.ended = False
        self.previous_ended = True
        self.store_failing_s = 0.0
        self.leaving = False
        self.resigned_epoch = 0
        self._offset = -1
        self._delay_s = rng.uniform(0.0, SPREAD_S)

    @property
    def epoch(self) -> int:
        """Fencing token of the newest claim; 0 where there is none."""
        return self.owner.epoch if self.owner is not None else 0

    @property
    def owns(self) -> bool:
        """Whether the newest claim is that of this start of this entry."""
        owner = self.owner
        mine = owner is not None and owner.incarnation == self.incarnation
        return mine and owner.epoch > self.resigned_epoch

    def resign(self) -> None:
        """Give up the ownership; orders need a new claim and a new token from now on."""
        self.resigned_epoch = self.epoch
        self.elected.clear()

    def note_owner_heard(self, epoch: int, store_failing_s: float) -> None:
        """Note a word of the owner."""
        if epoch == self.epoch:
            self.heard_s = loop_time()
            self.lost = False
            self.store_failing_s = store_failing_s

    def note_owner_lost(self, epoch: int, *, certain: bool) -> None:
        """Note that the owner is gone.

        Parameters
        ----------
        certain
            Whether the process is known to give no more orders; a refused connection may also be
            the work of a partition.
        """
        if epoch == self.epoch:
            self.lost = True
            self.ended = certain

    async def run(self) -> None:
        """Register this entry and claim the ownership whenever the owner is lost."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            await self.follower.caught_up.wait()
            tasks.create_task(self._register())
            while True:
                cause = self._cause_to_claim()
                if cause:
                    await self._claim(cause)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def keep_agents(self, agents: tuple[str, ...]) -> bool:
        """Keep which agents the owner may give orders to, and return whether it could."""
        if not self.owns or self.owner is None:
            return False
        record = msgspec.structs.replace(self.owner, agents=agents)
        return await self._append(record)

    def _cause_to_claim(self) -> str:
        """Return why this entry should claim now; empty where it should not."""
        if (
            self.leaving
            or self.owns
            or self.follower.age_s > FRESH_S
            or not self.follower.reachable
        ):
            return ""
        if self.owner is None:
            return "no owner"
        if self.owner.entry_id == self.entry_id:
            self.ended = True
            return "owner was restarted"
        silent_s = loop_time() - self.heard_s
        if self.lost and silent_s > self._delay_s:
            return "owner is gone"
        if silent_s > SILENCE_LIMIT_S + self._delay_s:
            return "owner is silent"
        if self.store_failing_s > STORE_FAILING_LIMIT_S + self._delay_s:
            return "owner has no store"
        return ""

    async def _claim(self, cause: str) -> None:
        agents = self.owner.agents if self.owner is not None else ()
        record = OwnerRecord(self.epoch + 1, self.entry_id, self.incarnation, self.address, agents)
        log_event(Event.OWNER_CLAIMS, epoch=record.epoch, cause=cause, owner=self._owner_name())
        if not await self._append(record):
            await asyncio.sleep(self.rng.uniform(0.0, SPREAD_S))

    async def _append(self, record: OwnerRecord) -> bool:
        value = msgspec.msgpack.encode(record)
        end = self.follower.next_offset
        outcome = await self.store.append(
            CONTROL_TOPIC,
            [Record(OWNER_KEY, value)],
            expected_end=end,
            timeout_s=APPEND_TIMEOUT_S,
        )
        if isinstance(outcome, Appended):
            self._take(record, outcome.end - 1)
            return True
        if isinstance(outcome, Conflict):
            await self._wait_for(outcome.end)
        else:
            log_event(Event.APPEND_UNCERTAIN, topic=CONTROL_TOPIC, detail=str(outcome))
        return False

    async def _wait_for(self, end: int) -> None:
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                await self.follower.wait_until_read(end)
        except TimeoutError:
            log_event(Event.LOG_UNAVAILABLE, topic=CONTROL_TOPIC, detail="reads are behind")

    async def _register(self) -> None:
        value = msgspec.msgpack.encode(EntryRecord(self.address))
        record = Record(entry_key(self.entry_id), value)
        while self.entries.get(self.entry_id) != self.address:
            await self.store.append(CONTROL_TOPIC, [record], timeout_s=APPEND_TIMEOUT_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _apply(self, record: Record) -> None:
        try:
            self._decode(record)
        except msgspec.DecodeError as error:
            log_event(Event.RECORD_BROKEN, key=record.key, offset=record.offset, detail=str(error))

    def _decode(self, record: Record) -> None:
        """Take over a record; raises `msgspec.DecodeError` for one that can't be read."""
        if record.key == OWNER_KEY and record.value is not None:
            self._take(msgspec.msgpack.decode(record.value, type=OwnerRecord), record.offset)
        elif record.key.startswith(ENTRY_PREFIX):
            name = record.key.removeprefix(ENTRY_PREFIX)
            if record.value is None:
                self.entries.pop(name, None)
            else:
                self.entries[name] = msgspec.msgpack.decode(record.value, type=EntryRecord).address

    def _take(self, record: OwnerRecord, offset: int) -> None:
        """Take over a claim unless a newer one is known."""
        if offset <= self._offset:
            return
        self._offset = offset
        if record.epoch != self.epoch:
            self.previous_ended = self.owner is None or self.ended
            self.ended = False
            self.heard_s = loop_time()
            self.lost = False
            self.store_failing_s = 0.0
            self._delay_s = self.rng.uniform(0.0, SPREAD_S)
        self.owner = record
        if self.owns:
            self.elected.set()
        else:
            self.elected.clear()

    def _owner_name(self) -> str:
        return self.owner.entry_id if self.owner is not None else ""

"""The claim of this entry on its region, and the right to start jobs that follows from it."""

from __future__ import annotations

import asyncio
import enum
import uuid
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs.ownership._owners import Owners
from briardeal.jobs.ownership._records import (
    OWNER_SCHEMA,
    OwnerClaimed,
    OwnerReleased,
    OwnerRenewed,
    owner_stream,
)
from briardeal_core.clock import loop_time
from briardeal_core.events import Event, log_event
from briardeal_core.log import (
    Batch,
    LogUnavailable,
    PastRetention,
    Priority,
    StreamReader,
    encode_envelope,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briardeal.jobs.ownership._owners import OwnerClaim
    from briardeal.jobs.ownership._peers import PeerLogState, PeerLogStates
    from briardeal_core.log import AppendBudget, Log

LEASE_TTL_S = 6.0
"""How long the right lasts after the sending of a renewal that was read back."""

RENEW_INTERVAL_S = 2.0
READ_WAIT_S = 1.0
READ_RETRY_S = 0.5
READ_LOST_S = 5.0
"""After how long without an answer the log counts as lost."""

READ_GAP_S = 4.0
"""After how long without an answer something may have been missed; less than `READ_LOST_S`."""

CONFIRM_TTL_S = 3.0
"""Oldest word of a peer that counts."""

MARGIN_S = 6.0
"""Time beyond a lapsed right; longer than a reservation, which ends an order that was held up."""

OUTAGE_LIMIT_S = 2 * 3600.0
"""How long an owner may go on without the log."""

PEER_FORGET_S = 60.0
CLAIM_RETRY_S = 4.0
CLAIM_JITTER_S = 1.0
UNLISTED_DELAY_S = 2.0
TAIL_ENTRIES = 500


class LeaseState(enum.Enum):
    """State of this entry's owner lease; any but `NONE` allows it to start jobs."""

    NONE = "none"
    LOGGED = "logged"
    """This entry recently read its own renewal back from the log."""
    PEER_CONFIRMED = "confirmed"
    """Heartbeats of the peers show that the log is unreachable for every possible owner."""


class Ownership(Service):
    """Claims a region in the log, renews the claim and knows when the right has lapsed.

    Parameters
    ----------
    log
        The platform's log.
    region, entry_id
        The region and this entry.
    peers
        What the other entries say of the log.
    count_workers
        Returns the number of workers in reach.
    budget
        Rate of appends of this process.
    rng
        Source of jitter and of append identifiers.

    Attributes
    ----------
    owners
        What the stream says.
    """

    def __init__(
        self,
        log: Log,
        region: str,
        entry_id: str,
        peers: PeerLogStates,
        count_workers: Callable[[], int],
        budget: AppendBudget,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.target = log
        self.region = region
        self.entry_id = entry_id
        self.peers = peers
        self.count_workers = count_workers
        self.budget = budget
        self.rng = rng
        self.owners = Owners()
        self.reader = StreamReader(log, owner_stream(region), OWNER_SCHEMA)
        self.read_s: float | None = None
        self._live = False
        self._live_since_s = 0.0
        self._gap_s = 0.0
        self._fence = 0
        self._lawful_token = 0
        self._sent_s: dict[str, float] = {}
        self._sent_peers: dict[str, frozenset[str]] = {}
        self._right_until_s: float | None = None
        self._claimed_s = 0.0
        self._claim_not_before_s = 0.0
        self._known_peers: dict[str, float] = {}
        self._inherited_token = 0
        self._most_workers = 0
        self._most_s = 0.0

    @property
    def token(self) -> int:
        """Fencing token of this entry; 0 while another or none has claimed the region last."""
        return self.owners.token if self._is_mine() else 0

    @property
    def highest_token(self) -> int:
        """Highest fencing token of the region that this entry has read."""
        return self.owners.token

    def log_age_s(self) -> float | None:
        """Return the seconds since the owner stream was last read; `None` for never."""
        return None if self.read_s is None else loop_time() - self.read_s

    def lease_state(self) -> LeaseState:
        """Return the current state of the owner lease, without which no job may be started."""
        now_s = loop_time()
        if not self._is_mine() or self._fence > self.token or self._right_until_s is None:
            return LeaseState.NONE
        if now_s < self._start_s() or not self._follows_lawfully(now_s):
            return LeaseState.NONE
        if now_s < self._right_until_s:
            return LeaseState.LOGGED
        return LeaseState.PEER_CONFIRMED if self._is_confirmed(now_s) else LeaseState.NONE

    def is_log_down_for_all(self) -> bool:
        """Return whether no entry that could own the region reads the log."""
        age_s = self.log_age_s()
        current = self.owners.current
        if current is None or age_s is None or age_s <= READ_LOST_S:
            return False
        asked = self._listed() | current.peers | {current.entry_id}
        return self._all_lost(asked - {self.entry_id})

    def may_have_unrecorded_starts(self) -> bool:
        """Return whether an earlier owner may have started jobs that do not stand in the log."""
        predecessor = self.owners.predecessor
        if predecessor is None:
            return False
        return not predecessor.heard_live or self._gap_s > predecessor.heard_s

    def record_fence(self, token: int) -> None:
        """Take note of a fencing token that an agent has seen."""
        self._fence = max(self._fence, token)

    def count_peak_workers(self) -> int:
        """Return the most workers known at once, until there have been fewer for long.

        A region that falls apart must not count as two whole ones.
        """
        count = self.count_workers()
        now_s = loop_time()
        if count >= self._most_workers or now_s >= self._most_s + OUTAGE_LIMIT_S:
            self._most_workers = count
            self._most_s = now_s
        return self._most_workers

    async def release(self) -> None:
        """Give the region up, so that another entry need not wait."""
        if self.token:
            await self._append(OwnerReleased(token=self.token))

    @Service.task
    async def _follow(self) -> None:
        while not await self._seek_tail() and not self.should_stop:
            await asyncio.sleep(READ_RETRY_S)
        while not self.should_stop:
            found = await self.reader.read(READ_WAIT_S)
            if isinstance(found, LogUnavailable):
                await asyncio.sleep(READ_RETRY_S)
            elif isinstance(found, PastRetention):
                self.reader.seek(found.oldest_offset)
                self._live = False
            else:
                self._take(found.records, found.at_end)

    @Service.task
    async def _claim_or_renew(self) -> None:
        while not self.should_stop:
            if self._is_mine():
                self.add_future(self._renew())
                await asyncio.sleep(RENEW_INTERVAL_S)
            elif self._may_claim():
                await self._claim()
                await asyncio.sleep(READ_RETRY_S)
            else:
                await asyncio.sleep(READ_RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _seek_tail(self) -> bool:
        found = await self.target.read(self.reader.stream, 0, 1)
        if isinstance(found, LogUnavailable):
            return False
        oldest = 0 if isinstance(found, Batch) else found.oldest_offset
        self.reader.seek(max(oldest, found.end_offset - TAIL_ENTRIES))
        return True

    def _take(self, records: tuple, at_end: bool) -> None:
        now_s = loop_time()
        if self.read_s is None or now_s - self.read_s > READ_GAP_S:
            self._live = False
            self._gap_s = now_s
        was_mine = self._is_mine()
        for item in records:
            self.owners.apply(item, now_s, self._live)
            self._read_back(item.append_id, item.record)
        self.read_s = now_s
        if at_end and not self._live:
            self._live_since_s = now_s
        self._live = at_end
        if was_mine and not self._is_mine():
            log_event(Event.OWNER_REPLACED, region=self.region, owner=self.owners.current.entry_id)

    def _read_back(self, append_id: str, record: object) -> None:
        sent_s = self._sent_s.get(append_id)
        if sent_s is None or not isinstance(record, OwnerRenewed):
            return
        if record.token != self.token:
            return
        self._right_until_s = max(sent_s + LEASE_TTL_S, self._right_until_s or 0.0)
        for earlier in list(self._sent_peers):
            if earlier == append_id:
                break
            del self._sent_peers[earlier]
            del self._sent_s[earlier]

    async def _renew(self) -> None:
        self._inherit()
        record = OwnerRenewed(
            token=self.token,
            peers=tuple(sorted(self._live_peers())),
            workers=self.count_peak_workers(),
        )
        await self._append(record)

    async def _claim(self) -> None:
        self._claim_not_before_s = loop_time() + CLAIM_RETRY_S
        self._right_until_s = None
        self._sent_peers.clear()
        log_event(Event.OWNER_CLAIMS, region=self.region, entry=self.entry_id)
        await self._append(OwnerClaimed(entry_id=self.entry_id))

    async def _append(self, record: OwnerClaimed | OwnerRenewed | OwnerReleased) -> None:
        append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        await self.budget.acquire(Priority.ACCEPTANCE)
        self._sent_s[append_id] = loop_time()
        if isinstance(record, OwnerRenewed):
            self._sent_peers[append_id] = frozenset(record.peers)
        data = encode_envelope([OWNER_SCHEMA.encode(record)])
        await self.target.append(self.reader.stream, data, append_id)

    def _may_claim(self) -> bool:
        now_s = loop_time()
        current = self.owners.current
        if not self._live or now_s - self.read_s > READ_WAIT_S + READ_RETRY_S:
            return False
        if current is not None and not current.released:
            lapses_s = max(current.heard_s, self._live_since_s) + LEASE_TTL_S
            if now_s < lapses_s:
                self._claim_not_before_s = lapses_s + self._claim_delay_s()
        return now_s >= self._claim_not_before_s

    def _claim_delay_s(self) -> float:
        current = self.owners.current
        listed = current is not None and self.entry_id in current.peers
        return self.rng.uniform(0, CLAIM_JITTER_S) + (0 if listed else UNLISTED_DELAY_S)

    def _is_mine(self) -> bool:
        current = self.owners.current
        return current is not None and current.append_id in self._sent_s and not current.released

    def _start_s(self) -> float:
        """Return when every earlier owner has lost its right."""
        predecessor = self.owners.predecessor
        if predecessor is None:
            return 0.0
        claimed_s = self.owners.current.claimed_s
        return max(predecessor.heard_s + LEASE_TTL_S, claimed_s + CONFIRM_TTL_S) + MARGIN_S

    def _follows_lawfully(self, now_s: float) -> bool:
        """Return whether the earlier owner can't go on without the log behind our back."""
        predecessor = self.owners.predecessor
        if predecessor is None or self.entry_id in predecessor.peers:
            return True
        has_most = 2 * self.count_workers() > predecessor.workers or not predecessor.workers
        if has_most or now_s >= predecessor.heard_s + OUTAGE_LIMIT_S + MARGIN_S:
            self._lawful_token = self.token
        return self._lawful_token == self.token

    def _is_confirmed(self, now_s: float) -> bool:
        current: OwnerClaim = self.owners.current
        if now_s >= self._right_until_s + OUTAGE_LIMIT_S or self.log_age_s() <= READ_LOST_S:
            return False
        if not current.workers or 2 * self.count_workers() < current.workers:
            return False
        return self._all_lost((self._listed() | current.peers) - {self.entry_id})

    def _all_lost(self, asked: frozenset[str]) -> bool:
        states = {state.entry_id: state for state in self.peers.log_states()}
        return all(name in states and self._has_lost(states[name]) for name in asked)

    def _has_lost(self, state: PeerLogState) -> bool:
        if state.heartbeat_age_s > CONFIRM_TTL_S or state.highest_token > self.owners.token:
            return False
        return state.read_age_s is None or state.read_age_s - state.heartbeat_age_s > READ_LOST_S

    def _listed(self) -> frozenset[str]:
        """Return the peers of the newest renewal read back and of all sent after it."""
        return frozenset().union(*self._sent_peers.values())

    def _live_peers(self) -> set[str]:
        """Return the entries of the region heard lately, those that an earlier owner knew too."""
        now_s = loop_time()
        for state in self.peers.log_states():
            if state.region == self.region:
                known_s = self._known_peers.get(state.entry_id, 0.0)
                self._known_peers[state.entry_id] = max(known_s, now_s - state.heartbeat_age_s)
        recent_s = now_s - PEER_FORGET_S
        self._known_peers = {n: s for n, s in self._known_peers.items() if s >= recent_s}
        return set(self._known_peers)

    def _inherit(self) -> None:
        """Take over what the last owner knew, so that nobody it knew is left out."""
        predecessor = self.owners.predecessor
        if predecessor is None or self._inherited_token == self.token:
            return
        self._inherited_token = self.token
        now_s = loop_time()
        for name in predecessor.peers | {predecessor.entry_id}:
            if name != self.entry_id:
                self._known_peers[name] = now_s
        self._most_workers = max(self._most_workers, predecessor.workers)

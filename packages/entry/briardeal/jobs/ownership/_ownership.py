"""The claim of this entry on its region, and the owner lease that allows it to start jobs."""

from __future__ import annotations

import asyncio
import enum
import uuid
from typing import TYPE_CHECKING

from mode import Service

from briardeal.jobs.ownership._owner_history import OwnerHistory
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
    EntryBatch,
    LogUnavailable,
    PastRetention,
    Priority,
    StreamReader,
    encode_envelope,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briardeal.jobs.ownership._owner_history import OwnerClaim
    from briardeal.jobs.ownership._peer_log_states import PeerLogState, PeerLogStates
    from briardeal_core.log import AppendRateLimiter, Log

LEASE_TTL_S = 6.0
"""Duration of the owner lease, from the sending of a renewal that was read back."""

RENEW_INTERVAL_S = 2.0
READ_WAIT_S = 1.0
READ_RETRY_S = 0.5
READ_LOST_S = 5.0
"""Time without an answer after which the log counts as unreachable."""

READ_GAP_S = 4.0
"""Time without an answer after which records may have gone unread; below `READ_LOST_S`."""

CONFIRM_TTL_S = 3.0
"""Maximum age of a peer's heartbeat for it to confirm the lease."""

MARGIN_S = 6.0
"""Wait after the lease of an earlier owner has expired, before this entry starts jobs.

It exceeds the lease of a reservation, so that a delayed start order of that owner has expired too.
"""

OUTAGE_LIMIT_S = 2 * 3600.0
"""How long an owner may start jobs while the log is unreachable."""

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
    """Claims a region in the log, renews the claim and tracks the owner lease.

    No two entries of a region hold a lease at the same time. An owner holds one for `LEASE_TTL_S`
    after it sends a renewal that it reads back. While the log is unreachable for all entries that
    could replace it, its peers confirm the lease for up to `OUTAGE_LIMIT_S`, provided that it
    reaches half of its workers. A new owner waits until the lease of its predecessor has certainly
    expired.

    Parameters
    ----------
    log
        The platform's log.
    region, entry_id
        Region and identifier of this entry.
    peers
        Reports how far the other entries have read the log.
    count_workers
        Returns the number of reachable workers.
    rate_limiter
        Limits the rate of appends of this process.
    rng
        Random numbers for jitter and append identifiers.

    Attributes
    ----------
    owners
        Current and previous owner, read from the owner stream.
    last_read_s
        When the owner stream was last read, on the clock of the event loop; `None` for never.
    """

    def __init__(
        self,
        log: Log,
        region: str,
        entry_id: str,
        peers: PeerLogStates,
        count_workers: Callable[[], int],
        rate_limiter: AppendRateLimiter,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.platform_log = log
        self.region = region
        self.entry_id = entry_id
        self.peers = peers
        self.count_workers = count_workers
        self.rate_limiter = rate_limiter
        self.rng = rng
        self.owners = OwnerHistory()
        self.reader = StreamReader(log, owner_stream(region), OWNER_SCHEMA)
        self.last_read_s: float | None = None
        self._caught_up = False
        self._caught_up_since_s = 0.0
        self._read_resumed_s = 0.0
        self._highest_fence = 0
        self._predecessor_excluded_token = 0
        self._append_sent_s: dict[str, float] = {}
        self._renewal_peers: dict[str, frozenset[str]] = {}
        self._lease_until_s: float | None = None
        self._claimed_s = 0.0
        self._claim_not_before_s = 0.0
        self._peer_heartbeat_s: dict[str, float] = {}
        self._inherited_token = 0
        self._peak_workers = 0
        self._peak_s = 0.0

    @property
    def token(self) -> int:
        """Fencing token of this entry; 0 while it does not own the region."""
        return self.owners.token if self._is_mine() else 0

    @property
    def highest_token(self) -> int:
        """Highest fencing token of the region that this entry has read."""
        return self.owners.token

    def log_age_s(self) -> float | None:
        """Return the seconds since the owner stream was last read; `None` if it never was."""
        return None if self.last_read_s is None else loop_time() - self.last_read_s

    def lease_state(self) -> LeaseState:
        """Return the current state of the owner lease, without which no job may be started."""
        now_s = loop_time()
        if not self._is_mine() or self._highest_fence > self.token or self._lease_until_s is None:
            return LeaseState.NONE
        if now_s < self._earliest_start_s() or not self._is_predecessor_excluded(now_s):
            return LeaseState.NONE
        if now_s < self._lease_until_s:
            return LeaseState.LOGGED
        return LeaseState.PEER_CONFIRMED if self._is_confirmed_by_peers(now_s) else LeaseState.NONE

    def is_log_down_for_all(self) -> bool:
        """Return whether the log is unreachable for every entry that could own the region."""
        age_s = self.log_age_s()
        current = self.owners.current
        if current is None or age_s is None or age_s <= READ_LOST_S:
            return False
        entry_ids = self._required_peers() | current.peers | {current.entry_id}
        return self._have_all_lost_log(entry_ids - {self.entry_id})

    def may_have_unrecorded_starts(self) -> bool:
        """Return whether an earlier owner may have started jobs without a record in the log."""
        predecessor = self.owners.predecessor
        if predecessor is None:
            return False
        return not predecessor.renewal_is_live or self._read_resumed_s > predecessor.renewed_s

    def record_fence(self, token: int) -> None:
        """Record a fencing token that an agent has seen."""
        self._highest_fence = max(self._highest_fence, token)

    def count_peak_workers(self) -> int:
        """Return the peak number of workers; a peak is forgotten after `OUTAGE_LIMIT_S`.

        Majorities are counted against the peak, so that the two sides of a partitioned region
        cannot both have one.
        """
        count = self.count_workers()
        now_s = loop_time()
        if count >= self._peak_workers or now_s >= self._peak_s + OUTAGE_LIMIT_S:
            self._peak_workers = count
            self._peak_s = now_s
        return self._peak_workers

    async def release(self) -> None:
        """Release the region, so that the next owner need not wait for the lease to expire."""
        if self.token:
            await self._append(OwnerReleased(token=self.token))

    @Service.task
    async def _follow_stream(self) -> None:
        while not await self._seek_tail() and not self.should_stop:
            await asyncio.sleep(READ_RETRY_S)
        while not self.should_stop:
            found = await self.reader.read(READ_WAIT_S)
            if isinstance(found, LogUnavailable):
                await asyncio.sleep(READ_RETRY_S)
            elif isinstance(found, PastRetention):
                self.reader.seek(found.oldest_offset)
                self._caught_up = False
            else:
                self._apply_records(found.records, found.at_end)

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
        found = await self.platform_log.read(self.reader.stream, 0, 1)
        if isinstance(found, LogUnavailable):
            return False
        oldest = 0 if isinstance(found, EntryBatch) else found.oldest_offset
        self.reader.seek(max(oldest, found.end_offset - TAIL_ENTRIES))
        return True

    def _apply_records(self, records: tuple, at_end: bool) -> None:
        now_s = loop_time()
        if self.last_read_s is None or now_s - self.last_read_s > READ_GAP_S:
            self._caught_up = False
            self._read_resumed_s = now_s
        was_mine = self._is_mine()
        for item in records:
            self.owners.apply(item, now_s, self._caught_up)
            self._extend_lease(item.append_id, item.record)
        self.last_read_s = now_s
        if at_end and not self._caught_up:
            self._caught_up_since_s = now_s
        self._caught_up = at_end
        if was_mine and not self._is_mine():
            log_event(Event.OWNER_REPLACED, region=self.region, owner=self.owners.current.entry_id)

    def _extend_lease(self, append_id: str, record: object) -> None:
        sent_s = self._append_sent_s.get(append_id)
        if sent_s is None or not isinstance(record, OwnerRenewed):
            return
        if record.token != self.token:
            return
        self._lease_until_s = max(sent_s + LEASE_TTL_S, self._lease_until_s or 0.0)
        for earlier in list(self._renewal_peers):
            if earlier == append_id:
                break
            del self._renewal_peers[earlier]
            del self._append_sent_s[earlier]

    async def _renew(self) -> None:
        self._inherit_peers()
        record = OwnerRenewed(
            token=self.token,
            peers=tuple(sorted(self._recent_peers())),
            workers=self.count_peak_workers(),
        )
        await self._append(record)

    async def _claim(self) -> None:
        self._claim_not_before_s = loop_time() + CLAIM_RETRY_S
        self._lease_until_s = None
        self._renewal_peers.clear()
        log_event(Event.OWNER_CLAIMS, region=self.region, entry=self.entry_id)
        await self._append(OwnerClaimed(entry_id=self.entry_id))

    async def _append(self, record: OwnerClaimed | OwnerRenewed | OwnerReleased) -> None:
        append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        await self.rate_limiter.acquire(Priority.ACCEPTANCE)
        self._append_sent_s[append_id] = loop_time()
        if isinstance(record, OwnerRenewed):
            self._renewal_peers[append_id] = frozenset(record.peers)
        data = encode_envelope([OWNER_SCHEMA.encode(record)])
        await self.platform_log.append(self.reader.stream, data, append_id)

    def _may_claim(self) -> bool:
        now_s = loop_time()
        current = self.owners.current
        if not self._caught_up or now_s - self.last_read_s > READ_WAIT_S + READ_RETRY_S:
            return False
        if current is not None and not current.released:
            expires_s = max(current.renewed_s, self._caught_up_since_s) + LEASE_TTL_S
            if now_s < expires_s:
                self._claim_not_before_s = expires_s + self._claim_delay_s()
        return now_s >= self._claim_not_before_s

    def _claim_delay_s(self) -> float:
        current = self.owners.current
        is_listed = current is not None and self.entry_id in current.peers
        return self.rng.uniform(0, CLAIM_JITTER_S) + (0 if is_listed else UNLISTED_DELAY_S)

    def _is_mine(self) -> bool:
        current = self.owners.current
        return (
            current is not None
            and current.append_id in self._append_sent_s
            and not current.released
        )

    def _earliest_start_s(self) -> float:
        """Return when the leases of all earlier owners have certainly expired."""
        predecessor = self.owners.predecessor
        if predecessor is None:
            return 0.0
        claimed_s = self.owners.current.claimed_s
        return max(predecessor.renewed_s + LEASE_TTL_S, claimed_s + CONFIRM_TTL_S) + MARGIN_S

    def _is_predecessor_excluded(self, now_s: float) -> bool:
        """Return whether the predecessor cannot keep its lease without the log.

        It cannot if it needs the confirmation of this entry, if this entry has reached most of its
        workers, or once `OUTAGE_LIMIT_S` has passed.
        """
        predecessor = self.owners.predecessor
        if predecessor is None or self.entry_id in predecessor.peers:
            return True
        has_majority = 2 * self.count_workers() > predecessor.workers or not predecessor.workers
        if has_majority or now_s >= predecessor.renewed_s + OUTAGE_LIMIT_S + MARGIN_S:
            self._predecessor_excluded_token = self.token
        return self._predecessor_excluded_token == self.token

    def _is_confirmed_by_peers(self, now_s: float) -> bool:
        current: OwnerClaim = self.owners.current
        if now_s >= self._lease_until_s + OUTAGE_LIMIT_S or self.log_age_s() <= READ_LOST_S:
            return False
        if not current.workers or 2 * self.count_workers() < current.workers:
            return False
        return self._have_all_lost_log((self._required_peers() | current.peers) - {self.entry_id})

    def _have_all_lost_log(self, entry_ids: frozenset[str]) -> bool:
        states = {state.entry_id: state for state in self.peers.log_states()}
        return all(name in states and self._has_lost_log(states[name]) for name in entry_ids)

    def _has_lost_log(self, state: PeerLogState) -> bool:
        if state.heartbeat_age_s > CONFIRM_TTL_S or state.highest_token > self.owners.token:
            return False
        return state.read_age_s is None or state.read_age_s - state.heartbeat_age_s > READ_LOST_S

    def _required_peers(self) -> frozenset[str]:
        """Return the peers of the newest renewal read back and of all renewals sent after it."""
        return frozenset().union(*self._renewal_peers.values())

    def _recent_peers(self) -> set[str]:
        """Return the entries with recent heartbeats, and those that an earlier owner listed."""
        now_s = loop_time()
        for state in self.peers.log_states():
            if state.region == self.region:
                known_s = self._peer_heartbeat_s.get(state.entry_id, 0.0)
                self._peer_heartbeat_s[state.entry_id] = max(known_s, now_s - state.heartbeat_age_s)
        oldest_s = now_s - PEER_FORGET_S
        self._peer_heartbeat_s = {n: s for n, s in self._peer_heartbeat_s.items() if s >= oldest_s}
        return set(self._peer_heartbeat_s)

    def _inherit_peers(self) -> None:
        """Take over the peers and the worker count of the last owner, so that none is left out."""
        predecessor = self.owners.predecessor
        if predecessor is None or self._inherited_token == self.token:
            return
        self._inherited_token = self.token
        now_s = loop_time()
        for name in predecessor.peers | {predecessor.entry_id}:
            if name != self.entry_id:
                self._peer_heartbeat_s[name] = now_s
        self._peak_workers = max(self._peak_workers, predecessor.workers)

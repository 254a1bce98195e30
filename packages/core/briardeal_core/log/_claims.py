"""Claims on a role with a lease and a fencing token, decided by their order in the log."""

from __future__ import annotations

import math
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._rate_limiter import Priority
from briardeal_core.log._reader import StreamReader
from briardeal_core.log._records import RecordKind, Schema, encode_envelope

if TYPE_CHECKING:
    import random

    from briardeal_core.log._model import Log
    from briardeal_core.log._rate_limiter import AppendRateLimiter

CLAIM_LEASE_S = 30.0
LEASE_MARGIN_S = 2.0
"""The holder stops this long before its lease ends, in case the clocks drift apart."""


class Claim(msgspec.Struct, frozen=True):
    """A claim on a role, its renewal, or its release if the lease is zero.

    Parameters
    ----------
    role
        Name of the role.
    claimant
        Name of the process that claims the role.
    lease_s
        Lease, counted from the time at which the log appended the claim, in seconds.
    token
        Offset of the claim that is renewed or released; `None` for a new claim.
    """

    role: str
    claimant: str
    lease_s: float
    token: int | None = None


CLAIM_SCHEMA = Schema([RecordKind("claim", Claim)])


@attrs.frozen
class RoleHolder:
    """The current holder of a role.

    Parameters
    ----------
    claimant
        Name of the process that holds the role.
    token
        Fencing token: offset of the claim that won. Each new holder has a higher token.
    expires_at_s
        When the lease expires, by the clock of the log, in seconds since the epoch; negative
        infinity once the role is released.
    renewed_offset
        Offset of the claim or renewal that started the current lease.
    """

    claimant: str
    token: int
    expires_at_s: float
    renewed_offset: int


class ClaimTable:
    """The holders of all roles, computed from a stream of claims.

    Parameters
    ----------
    complete
        Whether the table is built from the first claim of the stream. If not, the first record of a
        role may be a renewal, whose token is then accepted without its claim.
    """

    def __init__(self, complete: bool = True) -> None:
        self.complete = complete
        self.holders: dict[str, RoleHolder] = {}

    def apply(self, claim: Claim, offset: int, appended_at_s: float) -> None:
        """Apply one claim; it has no effect while another process holds the role."""
        holder = self.holders.get(claim.role)
        live = holder is not None and holder.expires_at_s > appended_at_s
        if claim.token is None:
            effective = not live or holder.claimant == claim.claimant
            token = offset
        else:
            token = claim.token
            first_met = holder is None and not self.complete
            held = live and (holder.claimant, holder.token) == (claim.claimant, token)
            effective = first_met or held
        if effective:
            # A release counts in the order of the log; the log's clock may go back slightly.
            expires_at_s = appended_at_s + claim.lease_s if claim.lease_s else -math.inf
            self.holders[claim.role] = RoleHolder(claim.claimant, token, expires_at_s, offset)


@dataclass(frozen=True)
class RoleAcquired:
    """Outcome of a claim: the role is held by this process.

    Parameters
    ----------
    token
        Fencing token to attach to every write in this role.
    valid_until_s
        When this process must stop unless it renews the claim, by the clock of the event loop, in
        seconds.
    """

    token: int
    valid_until_s: float


@dataclass(frozen=True)
class RoleHeldByOther:
    """Outcome of a claim: another process holds the role."""

    holder: RoleHolder


class RoleClaim:
    """Claims a role for this process, renews the claim and releases it.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream of claims.
    role, claimant
        Names of the role and of this process.
    rate_limiter
        Rate limiter shared by all writers of the process.
    rng
        Random source of append identifiers.
    lease_s
        Lease of a claim, in seconds.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        role: str,
        claimant: str,
        rate_limiter: AppendRateLimiter,
        rng: random.Random,
        lease_s: float = CLAIM_LEASE_S,
    ) -> None:
        self.log = log
        self.stream = stream
        self.role = role
        self.claimant = claimant
        self.rate_limiter = rate_limiter
        self.rng = rng
        self.lease_s = lease_s
        self.table = ClaimTable()
        self._valid_until_s = 0.0
        self._reader = StreamReader(log, stream, CLAIM_SCHEMA)

    async def acquire(self) -> RoleAcquired | RoleHeldByOther | LogUnavailable:
        """Claim or renew the role and return its holder, as decided by the order of the log."""
        asked_at_s = loop_time()
        unread = await self._catch_up()
        if unread is not None:
            return unread
        outcome = await self._append(self.lease_s, self._current_token())
        if isinstance(outcome, LogUnavailable):
            return outcome
        unread = await self._catch_up()
        if unread is not None:
            return unread
        holder = self.table.holders.get(self.role)
        if holder is not None and holder.claimant != self.claimant:
            return RoleHeldByOther(holder)
        if holder is None or holder.renewed_offset != outcome.offset:
            return LogUnavailable(
                "the lease expired before its renewal reached the log; claim the role again"
            )
        self._valid_until_s = asked_at_s + self.lease_s - LEASE_MARGIN_S
        return RoleAcquired(holder.token, self._valid_until_s)

    async def release(self) -> None:
        """Release the role, so that another process can claim it before the lease expires."""
        token = self._current_token()
        self._valid_until_s = 0.0
        if token is not None:
            await self._append(0.0, token)

    def _current_token(self) -> int | None:
        holder = self.table.holders.get(self.role)
        if holder is None or holder.claimant != self.claimant:
            return None
        return holder.token if self._valid_until_s > loop_time() else None

    async def _append(self, lease_s: float, token: int | None) -> Appended | LogUnavailable:
        claim = Claim(self.role, self.claimant, lease_s, token)
        data = encode_envelope([CLAIM_SCHEMA.encode(claim)])
        append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        await self.rate_limiter.acquire(Priority.ACCEPTANCE)
        return await self.log.append(self.stream, data, append_id)

    async def _catch_up(self) -> LogUnavailable | None:
        while True:
            found = await self._reader.read()
            if isinstance(found, LogUnavailable):
                return found
            if isinstance(found, PastRetention):
                self._reader.seek(found.oldest_offset)
                self.table = ClaimTable(complete=False)
                continue
            for item in found.records:
                self.table.apply(item.record, item.offset, item.appended_at_s)
            if found.at_end:
                return None

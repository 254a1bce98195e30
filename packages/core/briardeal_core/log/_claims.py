"""Claims on a role, settled by the order of the log."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import attrs
import msgspec

from briardeal_core.clock import loop_time
from briardeal_core.log._budget import Priority
from briardeal_core.log._model import Appended, LogUnavailable, PastRetention
from briardeal_core.log._reader import StreamReader
from briardeal_core.log._records import RecordKind, Schema, encode_envelope

if TYPE_CHECKING:
    import random

    from briardeal_core.log._budget import AppendRateLimiter
    from briardeal_core.log._model import Log

CLAIM_LEASE_S = 30.0
LEASE_MARGIN_S = 2.0
"""How much earlier a holder stops than others may take over, for clocks that run unevenly."""


class Claim(msgspec.Struct, frozen=True):
    """A claim on a role, a renewal of it, or with a lease of zero its release.

    Parameters
    ----------
    role
        The role.
    claimant
        The process that claims it.
    lease_s
        How long the claim holds from when the log took it, in seconds.
    token
        Offset of the claim that this one renews; `None` for a new claim.
    """

    role: str
    claimant: str
    lease_s: float
    token: int | None = None


CLAIM_SCHEMA = Schema([RecordKind("claim", Claim)])


@attrs.frozen
class RoleHolder:
    """Who holds a role.

    Parameters
    ----------
    claimant
        The process.
    token
        Fencing token: offset of the claim that won. It rises from holder to holder.
    expires_at_s
        When the lease ends, by the clock of the log, in seconds since the epoch.
    renewed_offset
        Offset of the claim or renewal that the lease rests on.
    """

    claimant: str
    token: int
    expires_at_s: float
    renewed_offset: int


class ClaimTable:
    """The holders of all roles, folded from a stream of claims.

    Parameters
    ----------
    complete
        Whether the fold starts with the first claim ever; otherwise the holder of a role may first
        be met by a renewal, whose token is then taken as it stands.
    """

    def __init__(self, complete: bool = True) -> None:
        self.complete = complete
        self.holders: dict[str, RoleHolder] = {}

    def apply(self, claim: Claim, offset: int, appended_at_s: float) -> None:
        """Take one claim into account; one that comes second has no effect."""
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
            expires_at_s = appended_at_s + claim.lease_s
            self.holders[claim.role] = RoleHolder(claim.claimant, token, expires_at_s, offset)


@dataclass(frozen=True)
class RoleAcquired:
    """The role is held by this process.

    Parameters
    ----------
    token
        Fencing token to put on all that is done in the role.
    until_s
        When to stop unless renewed, by the loop's clock, in seconds.
    """

    token: int
    until_s: float


@dataclass(frozen=True)
class RoleHeldByOther:
    """Another process holds the role."""

    holder: RoleHolder


class RoleClaim:
    """One process's claim on a role.

    Parameters
    ----------
    log
        The log.
    stream
        Stream of the claims.
    role, claimant
        The role and this process.
    budget
        Rate shared by all writers of the process.
    rng
        Source of append identifiers.
    lease_s
        How long a claim holds, in seconds.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        role: str,
        claimant: str,
        budget: AppendRateLimiter,
        rng: random.Random,
        lease_s: float = CLAIM_LEASE_S,
    ) -> None:
        self.log = log
        self.stream = stream
        self.role = role
        self.claimant = claimant
        self.budget = budget
        self.rng = rng
        self.lease_s = lease_s
        self.table = ClaimTable()
        self._until_s = 0.0
        self._reader = StreamReader(log, stream, CLAIM_SCHEMA)

    async def acquire(self) -> RoleAcquired | RoleHeldByOther | LogUnavailable:
        """Claim or renew the role, and tell who holds it by the order of the log."""
        asked_at_s = loop_time()
        unread = await self._catch_up()
        if unread is not None:
            return unread
        outcome = await self._append(self.lease_s, self._held_token())
        if isinstance(outcome, LogUnavailable):
            return outcome
        unread = await self._catch_up()
        if unread is not None:
            return unread
        holder = self.table.holders.get(self.role)
        if holder is not None and holder.claimant != self.claimant:
            return RoleHeldByOther(holder)
        if holder is None or holder.renewed_offset != outcome.offset:
            return LogUnavailable("the renewal came too late; claim again")
        self._until_s = asked_at_s + self.lease_s - LEASE_MARGIN_S
        return RoleAcquired(holder.token, self._until_s)

    async def release(self) -> None:
        """Give the role up, so that another need not wait for the lease to end."""
        token = self._held_token()
        self._until_s = 0.0
        if token is not None:
            await self._append(0.0, token)

    def _held_token(self) -> int | None:
        holder = self.table.holders.get(self.role)
        if holder is None or holder.claimant != self.claimant:
            return None
        return holder.token if self._until_s > loop_time() else None

    async def _append(self, lease_s: float, token: int | None) -> Appended | LogUnavailable:
        claim = Claim(self.role, self.claimant, lease_s, token)
        data = encode_envelope([CLAIM_SCHEMA.encode(claim)])
        append_id = uuid.UUID(int=self.rng.getrandbits(128)).hex
        await self.budget.acquire(Priority.ACCEPTANCE)
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

"""Election of the owner by conditional appends of claims to the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from briardeal_core.clock import boottime_s, loop_time
from briardeal_core.decoding import decode_msgpack
from briardeal_core.events import Event, log_event
from briardeal_workflow.leadership._agent_reach import (
    OWNER_TIMEOUT_S,
    AgentReach,
    HeardAgents,
)
from briardeal_workflow.leadership._records import (
    CONTROL_TOPIC,
    ENTRY_PREFIX,
    OWNER_KEY,
    EntryRecord,
    ListedAgent,
    OwnerRecord,
    entry_key,
)
from briardeal_workflow.store import Appended, Conflict, Follower, Record

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from briardeal_workflow.store import Store

NO_AGENTS_DELAY_S = 1.0
"""Additional delay before a claim of an entry that hears no agent, so that others claim first."""

MAX_CLAIM_DELAY_S = 0.3
"""Maximum random delay before a claim, so that one of several entries claims first."""

MAX_STORE_FAILURE_S = 1.0
"""Time for which appends of the owner fail before an entry that reaches the store replaces it."""

MAX_PLANNING_AGE_S = 1.5
"""Time without a planning round of the owner before an entry that could plan replaces it; rounds
follow every 0.25 s."""

FIRST_ROUND_FACTOR = 2.0
"""Factor of that time before the first round under a claim, which two appends and the reading of
the records of starts precede; each of them may take 1 s while answers of the store get lost."""

LONGEST_PLANNING_AGE_S = 24.0
"""Limit of that time, which doubles while new owners complete no planning round either."""

HEARTBEAT_MARGIN_S = 0.5
"""Time by which an entry may learn of a claim earlier or later than its owner."""

MAX_READ_AGE_S = 2.5
"""Maximum age of the records read before a claim; the store answers a reader every second."""

OWNER_SILENT = "owner is silent"
OWNER_UNHEARD = "owner hears too few agents"
"""Causes of claims."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks for a lost owner."""

APPEND_TIMEOUT_S = 1.0
"""Timeout of one append; a healthy store answers within 10 ms."""


class Election:
    """Tracks the owner of jobs and claims the ownership when the owner is lost.

    Parameters
    ----------
    store
        Store that contains the claims.
    entry_id, incarnation, address
        Name of this entry, identifier of this run of its process, and its control address.
    rng
        Source of the random delays before claims.
    can_plan
        Returns whether this entry could plan at once if it owned the jobs; it makes no claim
        otherwise. By default it always could.
    hear_agents
        Returns which agents this entry hears. By default it hears one that no owner serves.

    Attributes
    ----------
    owner
        Record of the newest claim; `None` before the first.
    entries
        Control addresses of entries by entry name.
    claimed_s
        When the newest claim became known, on the loop's clock.
    reach
        Compares which agents this entry and the owner hear.
    elected
        Set while this entry is the owner.
    previous_owner_stopped
        Whether all owners before the newest claim were known to send no more orders.
    planning_age_s, max_planning_age_s
        Time since the owner completed a planning round, as its newest heartbeat says, and time
        after which another entry replaces it.
    owner_has_planned
        Whether the owner is known to have completed a planning round.
    ready_since_s
        Since when this entry could plan and has read the claims, on the loop's clock; `None` while
        it could not.
    waiting_since_s
        When an owner had certainly fenced the log that has a higher token than the last one under
        which the lease of an agent may have been extended, by agent and that token, on the clock of
        `boottime_s`.
    leaving
        Whether this entry is shutting down and so makes no claims.
    append_failing_since_s
        Since when no append has succeeded since the newest claim, although some were tried, on the
        clock of `boottime_s`; `None` after a success.
    """

    def __init__(
        self,
        store: Store,
        entry_id: str,
        incarnation: str,
        address: str,
        rng: random.Random,
        can_plan: Callable[[], bool] = lambda: True,
        hear_agents: Callable[[], HeardAgents] = lambda: HeardAgents(1),
    ) -> None:
        self.store = store
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.address = address
        self.rng = rng
        self.can_plan = can_plan
        self.reach = AgentReach(hear_agents)
        self.follower = Follower(store, CONTROL_TOPIC, self._apply, wait_s=1.0)
        self.owner: OwnerRecord | None = None
        self.entries: dict[str, str] = {}
        self.claimed_s = loop_time()
        self.elected = asyncio.Event()
        self.last_heartbeat_s = loop_time()
        self.owner_lost = False
        self.owner_stopped = False
        self.previous_owner_stopped = True
        self.store_failing_s = 0.0
        self.planning_age_s = 0.0
        self.max_planning_age_s = MAX_PLANNING_AGE_S
        self.owner_has_planned = False
        self.ready_since_s: float | None = None
        self.leaving = False
        self.append_failing_since_s: float | None = None
        self.resigned_epoch = 0
        self.waiting_since_s: dict[tuple[str, int], float] = {}
        self._offset = -1
        self._delay_s = rng.uniform(0.0, MAX_CLAIM_DELAY_S)

    @property
    def epoch(self) -> int:
        """Fencing token of the newest claim; 0 if there is none."""
        return self.owner.epoch if self.owner is not None else 0

    @property
    def is_owner(self) -> bool:
        """Whether this run of this entry made the newest claim and has not resigned."""
        owner = self.owner
        claimed_here = owner is not None and owner.incarnation == self.incarnation
        return claimed_here and owner.epoch > self.resigned_epoch

    @property
    def can_take_over(self) -> bool:
        """Whether this entry could claim the ownership and plan at once."""
        return self.ready_since_s is not None

    def resign(self) -> None:
        """Resign the ownership; further orders need a new claim with a new fencing token."""
        self.resigned_epoch = self.epoch
        self.elected.clear()

    def record_heartbeat(
        self,
        epoch: int,
        store_failing_s: float,
        planning_age_s: float = 0.0,
        heard_agents: int = -1,
    ) -> None:
        """Record a heartbeat of the owner.

        Parameters
        ----------
        epoch
            Fencing token of the owner; a heartbeat under another one is ignored.
        store_failing_s
            Time for which appends of the owner to the store have failed, in seconds.
        planning_age_s
            Time since the owner completed a planning round, in seconds; since its claim before the
            first one.
        heard_agents
            Number of agents that the owner hears; -1 if unknown.
        """
        if epoch == self.epoch:
            self.last_heartbeat_s = loop_time()
            self.owner_lost = self.owner_stopped = False
            self.store_failing_s = store_failing_s
            self.planning_age_s = planning_age_s
            self.reach.compare(heard_agents, self.last_heartbeat_s - self.claimed_s)
            if self.last_heartbeat_s - self.claimed_s > planning_age_s + HEARTBEAT_MARGIN_S:
                self.owner_has_planned = True
                self.max_planning_age_s = MAX_PLANNING_AGE_S

    def mark_owner_lost(self, epoch: int, *, certain: bool) -> None:
        """Record that the owner is lost.

        Parameters
        ----------
        epoch
            Fencing token of that owner; ignored if a newer owner is known.
        certain
            Whether the owner is known to send no more orders. A refused connection does not prove
            it, as a network partition may cause the same.
        """
        if epoch == self.epoch:
            self.owner_lost = True
            self.owner_stopped = certain

    async def run(self) -> None:
        """Register the address of this entry and claim the ownership whenever the owner is lost."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            await self.follower.caught_up.wait()
            tasks.create_task(self._register())
            while True:
                self._update_ready()
                cause = self._claim_cause()
                if cause:
                    await self._claim(cause)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def store_agents(self, agents: dict[str, ListedAgent], *, settled: bool) -> bool:
        """Store which agents the owner may send orders to, and return whether that succeeded.

        Parameters
        ----------
        agents
            State of each agent by name.
        settled
            Whether the owner knows all tasks that earlier owners may have started.
        """
        if not self.is_owner or self.owner is None:
            return False
        record = msgspec.structs.replace(
            self.owner,
            agents=tuple(agents),
            settled=settled,
            starts_recorded=settled or self.owner.starts_recorded,
            listed_agents=tuple(agents.values()),
        )
        return await self._append(record)

    def _update_ready(self) -> None:
        has_read_claims = self.follower.age_s <= MAX_READ_AGE_S and self.follower.reachable
        if not has_read_claims or not self.can_plan():
            self.ready_since_s = None
        elif self.ready_since_s is None:
            self.ready_since_s = loop_time()

    def _claim_cause(self) -> str:
        """Return the reason to claim the ownership now; empty if there is none."""
        if self.leaving or self.is_owner or self.ready_since_s is None:
            return ""
        if self.owner is None:
            return "no owner"
        if self.owner.entry_id == self.entry_id:
            self.owner_stopped = True
            return "owner was restarted"
        silent_s = loop_time() - self.last_heartbeat_s
        if self.owner_lost and self._is_overdue(silent_s):
            return "owner is gone"
        if silent_s > OWNER_TIMEOUT_S + self._delay_s and self._is_silent():
            return OWNER_SILENT
        if self._is_overdue(self.store_failing_s - MAX_STORE_FAILURE_S):
            return "owner has no store"
        # Only an entry that was ready all the while is better off than the owner.
        idle_s = min(self.planning_age_s, loop_time() - self.ready_since_s)
        factor = 1.0 if self.owner_has_planned else FIRST_ROUND_FACTOR
        if self._is_overdue(idle_s - factor * self.max_planning_age_s):
            return "owner plans nothing"
        if self._is_overdue(self.reach.unheard_s - self.reach.max_unheard_s):
            return OWNER_UNHEARD
        return ""

    def _is_overdue(self, overdue_s: float) -> bool:
        """Return whether a claim that any entry may make has been due for long enough."""
        if overdue_s <= self._delay_s:
            return False
        return self.reach.hear_agents().count > 0 or overdue_s > self._delay_s + NO_AGENTS_DELAY_S

    def _is_silent(self) -> bool:
        """Return whether neither this entry nor most agents have heard the owner for too long."""
        heard = self.reach.hear_agents()
        seen_s = self.last_heartbeat_s
        if heard.owner_seen_s > seen_s:
            # Agents see no planning during an outage of the store; its end must not cause a claim.
            seen_s = max(heard.owner_seen_s, self.ready_since_s)
        silent_s = loop_time() - seen_s
        limit_s = self.reach.silence_limit_s(heard.count, len(self.owner.agents))
        return silent_s > limit_s + self._delay_s

    async def _claim(self, cause: str) -> None:
        previous = self.owner
        agents = {} if previous is None else previous.find_agents()
        record = OwnerRecord(
            self.epoch + 1,
            self.entry_id,
            self.incarnation,
            self.address,
            agents=tuple(agents),
            starts_recorded=previous is None or previous.starts_recorded,
            listed_agents=tuple(agents.values()),
        )
        heard_count = self.reach.hear_agents().count
        log_event(
            Event.OWNER_CLAIMS,
            epoch=record.epoch,
            cause=cause,
            owner=self._owner_name(),
            agents=heard_count,
        )
        if cause == OWNER_UNHEARD:
            self.reach.lengthen_unheard_time()
        elif cause == OWNER_SILENT:
            self.reach.lengthen_silence_limit(heard_count, len(agents))
        if not await self._append(record):
            await asyncio.sleep(self.rng.uniform(0.0, MAX_CLAIM_DELAY_S))

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
            self._apply_claim(record, outcome.end - 1)
            self.append_failing_since_s = None
            return True
        if self.append_failing_since_s is None:
            self.append_failing_since_s = boottime_s()
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
        """Keep the address of this entry stored; a late append may bring back an earlier one."""
        value = msgspec.msgpack.encode(EntryRecord(self.address))
        record = Record(entry_key(self.entry_id), value)
        while True:
            if self.entries.get(self.entry_id) != self.address:
                await self.store.append(CONTROL_TOPIC, [record], timeout_s=APPEND_TIMEOUT_S)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _apply(self, record: Record) -> None:
        try:
            self._apply_record(record)
        except msgspec.DecodeError as error:
            log_event(Event.RECORD_BROKEN, key=record.key, offset=record.offset, detail=str(error))

    def _apply_record(self, record: Record) -> None:
        """Decode and apply a record.

        Raises
        ------
        msgspec.DecodeError
            If the value of the record is malformed.
        """
        if record.key == OWNER_KEY and record.value is not None:
            self._apply_claim(decode_msgpack(record.value, OwnerRecord), record.offset)
        elif record.key.startswith(ENTRY_PREFIX):
            name = record.key.removeprefix(ENTRY_PREFIX)
            if record.value is None:
                self.entries.pop(name, None)
            else:
                self.entries[name] = decode_msgpack(record.value, EntryRecord).address

    def _apply_claim(self, record: OwnerRecord, offset: int) -> None:
        """Apply a claim unless a newer one is known."""
        if offset <= self._offset:
            return
        self._offset = offset
        self._record_waits(record)
        if record.epoch != self.epoch:
            # An owner that has not settled the starts of earlier ones may not be the only one left.
            self.previous_owner_stopped = self.owner is None or (
                self.owner_stopped and self.owner.settled
            )
            self.owner_stopped = False
            self.claimed_s = self.last_heartbeat_s = loop_time()
            self.owner_lost = False
            self.store_failing_s = 0.0
            self.append_failing_since_s = None
            if self.planning_age_s > self.max_planning_age_s:
                self.max_planning_age_s = min(2 * self.max_planning_age_s, LONGEST_PLANNING_AGE_S)
            self.owner_has_planned = False
            self.planning_age_s = 0.0
            self.reach.restart()
            self._delay_s = self.rng.uniform(0.0, MAX_CLAIM_DELAY_S)
        self.owner = record
        if self.is_owner:
            self.elected.set()
        else:
            self.elected.clear()

    def _record_waits(self, record: OwnerRecord) -> None:
        """Record since when owners have waited for agents; the earliest time known counts."""
        now_s = boottime_s()
        earlier = self.waiting_since_s
        self.waiting_since_s = {
            (name, agent.epoch): min(
                now_s - agent.waited_s, earlier.get((name, agent.epoch), float("inf"))
            )
            for name, agent in record.find_agents().items()
            if agent.waited_s is not None
        }

    def _owner_name(self) -> str:
        return self.owner.entry_id if self.owner is not None else ""

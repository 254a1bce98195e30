"""No two entries may start jobs at once, checked for all fault schedules of a small region."""

from __future__ import annotations

import asyncio
import itertools
import random

import looptime
import pytest

from briardeal.jobs import RESTART_WAIT_S
from briardeal.jobs._gang_client import RESERVE_LEASE_S
from briardeal.jobs._service import JOB_TABLE_MAX_AGE_S
from briardeal.jobs.ownership import CONFIRM_TTL_S, MARGIN_S, LeaseState, Ownership
from briardeal_agent.tasks import MEMBER_TTL_S
from briardeal_core.clock import WallClock, loop_time
from briardeal_core.log import AppendRateLimiter
from briardeal_standins.log import LogStore
from tests.entry.jobs.cluster import REGION, ReportedLogState
from tests.entry.jobs.pausable import PausableLog, ProcessState

ACTION_INTERVAL_S = 5.0
SAMPLE_S = 0.5
FINAL_SAMPLE_S = 40.0
ACTIONS = ["nothing", "pause a", "log outage a", "log outage b", "partition", "start b"]
DEPTH = 4


class ModelEntry:
    """One simulated entry; a partition leaves it one of the two agents."""

    def __init__(self, model: Model, name: str) -> None:
        self.model = model
        self.name = name
        self.process_state = ProcessState()
        self.log = PausableLog(model.store, self.process_state)
        self.started = False
        self.last_lease_s = -100.0
        self.peer_states: dict[str, ReportedLogState] = {}
        self.heartbeat_s: dict[str, float] = {}
        rng = random.Random(name)
        self.ownership = Ownership(
            self.log, REGION, name, self, self.count_workers, AppendRateLimiter(), rng
        )

    async def start(self) -> None:
        if not self.started:
            self.started = True
            await self.ownership.start()

    def count_workers(self) -> int:
        return 1 if self.model.partitioned else 2

    def log_states(self) -> list[ReportedLogState]:
        states = []
        for name, state in self.peer_states.items():
            age_s = loop_time() - self.heartbeat_s[name]
            read_age_s = None if state.read_age_s is None else state.read_age_s + age_s
            states.append(ReportedLogState(name, age_s, read_age_s, state.highest_token))
        return states

    def receive_heartbeat(self, other: ModelEntry) -> None:
        ownership = other.ownership
        self.peer_states[other.name] = ReportedLogState(
            other.name, 0, ownership.log_age_s(), ownership.highest_token
        )
        self.heartbeat_s[other.name] = loop_time()


class Model:
    """Two entries with an agent each, run through one schedule of faults."""

    def __init__(self) -> None:
        self.store = LogStore(clock=WallClock(0.0))
        self.partitioned = False
        self.a = ModelEntry(self, "a")
        self.b = ModelEntry(self, "b")

    async def run(self, schedule: tuple[str, ...], late: bool) -> list[str]:
        """Run the schedule and return the violations found."""
        await self.a.start()
        if not late:
            await self.b.start()
        await self._sample_for(20.0)
        has_owner = max(self.a.last_lease_s, self.b.last_lease_s) > 0
        violations = [] if has_owner else ["nobody may start"]
        for action in schedule:
            await self._inject(action)
            violations += await self._sample_for(ACTION_INTERVAL_S)
        return violations + await self._sample_for(FINAL_SAMPLE_S)

    async def stop(self) -> None:
        for entry in (self.a, self.b):
            entry.process_state.killed = True
            entry.process_state.running.set()
            if entry.started:
                await entry.ownership.stop()

    async def _inject(self, action: str) -> None:
        if action == "pause a" and self.a.process_state.running.is_set():
            self.a.process_state.running.clear()
        elif action == "pause a":
            self.a.process_state.running.set()
        elif action == "log outage a":
            self.a.log.faults.outage = not self.a.log.faults.outage
        elif action == "log outage b":
            self.b.log.faults.outage = not self.b.log.faults.outage
        elif action == "partition":
            self.partitioned = not self.partitioned
        elif action == "start b":
            await self.b.start()

    async def _sample_for(self, span_s: float) -> list[str]:
        violations = []
        for _ in range(int(span_s / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self._exchange_heartbeats()
            violations += self._check_lease(self.a, self.b) + self._check_lease(self.b, self.a)
        return violations

    def _exchange_heartbeats(self) -> None:
        both = self.a.started and self.b.started and not self.partitioned
        if both and self.a.process_state.running.is_set():
            self.a.receive_heartbeat(self.b)
            self.b.receive_heartbeat(self.a)

    def _check_lease(self, entry: ModelEntry, other: ModelEntry) -> list[str]:
        if not entry.started or not entry.process_state.running.is_set():
            return []
        if entry.ownership.lease_state() is LeaseState.NONE:
            return []
        entry.last_lease_s = loop_time()
        if loop_time() - other.last_lease_s < RESERVE_LEASE_S:
            return [f"{entry.name} may start at {loop_time()}, {other.name} could too"]
        return []


@pytest.mark.parametrize("late", [False, True])
def test_no_schedule_lets_two_entries_start_jobs_at_once(late):
    for schedule in itertools.product(ACTIONS if late else ACTIONS[:-1], repeat=DEPTH):
        assert find_violations(schedule, late) == [], schedule


def find_violations(schedule: tuple[str, ...], late: bool) -> list[str]:
    loop = looptime.new_event_loop(noop_cycles=0)
    asyncio.set_event_loop(loop)

    async def run() -> list[str]:
        model = Model()
        try:
            return await model.run(schedule, late)
        finally:
            await model.stop()

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
        asyncio.set_event_loop(None)


def test_waits_exceed_the_leases_that_they_wait_for():
    assert MARGIN_S > RESERVE_LEASE_S
    assert RESTART_WAIT_S > MEMBER_TTL_S + JOB_TABLE_MAX_AGE_S + CONFIRM_TTL_S

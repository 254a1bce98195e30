"""No two entries may start jobs at once, by search through all schedules of a small region."""

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
from briardeal_core.log import AppendBudget
from briardeal_standins.log import LogStore
from tests.entry.jobs.cluster import REGION, ReportedLogState
from tests.entry.jobs.pausable import PausableLog, ProcessState

STEP_S = 5.0
SAMPLE_S = 0.5
TAIL_S = 40.0
ACTIONS = ["nothing", "pause a", "cut a", "cut b", "part", "start b"]
DEPTH = 4


class Side:
    """One entry with the agents on its side."""

    def __init__(self, model: Model, name: str) -> None:
        self.model = model
        self.name = name
        self.process_state = ProcessState()
        self.log = PausableLog(model.store, self.process_state)
        self.started = False
        self.last_right_s = -100.0
        self.heard: dict[str, ReportedLogState] = {}
        self.heard_s: dict[str, float] = {}
        rng = random.Random(name)
        self.ownership = Ownership(
            self.log, REGION, name, self, self.count_workers, AppendBudget(), rng
        )

    async def start(self) -> None:
        if not self.started:
            self.started = True
            await self.ownership.start()

    def count_workers(self) -> int:
        return 1 if self.model.parted else 2

    def log_states(self) -> list[ReportedLogState]:
        words = []
        for name, word in self.heard.items():
            age_s = loop_time() - self.heard_s[name]
            read_age_s = None if word.read_age_s is None else word.read_age_s + age_s
            words.append(ReportedLogState(name, age_s, read_age_s, word.highest_token))
        return words

    def hear(self, other: Side) -> None:
        told = other.ownership
        self.heard[other.name] = ReportedLogState(
            other.name, 0, told.log_age_s(), told.highest_token
        )
        self.heard_s[other.name] = loop_time()


class Model:
    """Two entries, an agent on each side, and one schedule of faults."""

    def __init__(self) -> None:
        self.store = LogStore(clock=WallClock(0.0))
        self.parted = False
        self.a = Side(self, "a")
        self.b = Side(self, "b")

    async def run(self, schedule: tuple[str, ...], late: bool) -> list[str]:
        """Return what went wrong."""
        await self.a.start()
        if not late:
            await self.b.start()
        await self._pass(20.0)
        began = max(self.a.last_right_s, self.b.last_right_s) > 0
        wrong = [] if began else ["nobody may start"]
        for action in schedule:
            await self._act(action)
            wrong += await self._pass(STEP_S)
        return wrong + await self._pass(TAIL_S)

    async def stop(self) -> None:
        for side in (self.a, self.b):
            side.process_state.killed = True
            side.process_state.running.set()
            if side.started:
                await side.ownership.stop()

    async def _act(self, action: str) -> None:
        if action == "pause a" and self.a.process_state.running.is_set():
            self.a.process_state.running.clear()
        elif action == "pause a":
            self.a.process_state.running.set()
        elif action == "cut a":
            self.a.log.faults.outage = not self.a.log.faults.outage
        elif action == "cut b":
            self.b.log.faults.outage = not self.b.log.faults.outage
        elif action == "part":
            self.parted = not self.parted
        elif action == "start b":
            await self.b.start()

    async def _pass(self, span_s: float) -> list[str]:
        wrong = []
        for _ in range(int(span_s / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self._exchange()
            wrong += self._sample(self.a, self.b) + self._sample(self.b, self.a)
        return wrong

    def _exchange(self) -> None:
        both = self.a.started and self.b.started and not self.parted
        if both and self.a.process_state.running.is_set():
            self.a.hear(self.b)
            self.b.hear(self.a)

    def _sample(self, side: Side, other: Side) -> list[str]:
        if not side.started or not side.process_state.running.is_set():
            return []
        if side.ownership.lease_state() is LeaseState.NONE:
            return []
        side.last_right_s = loop_time()
        if loop_time() - other.last_right_s < RESERVE_LEASE_S:
            return [f"{side.name} may start at {loop_time()}, {other.name} could too"]
        return []


@pytest.mark.parametrize("late", [False, True])
def test_no_schedule_gives_two_entries_the_right(late):
    for schedule in itertools.product(ACTIONS if late else ACTIONS[:-1], repeat=DEPTH):
        assert search(schedule, late) == [], schedule


def search(schedule: tuple[str, ...], late: bool) -> list[str]:
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


def test_waits_cover_what_they_wait_for():
    assert MARGIN_S > RESERVE_LEASE_S
    assert RESTART_WAIT_S > MEMBER_TTL_S + JOB_TABLE_MAX_AGE_S + CONFIRM_TTL_S

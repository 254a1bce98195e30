"""Wall time across suspensions of the machine and steps of its time of day."""

from __future__ import annotations

import asyncio

import pytest

from briardeal_core.clock import WallClock, _wall, loop_time

pytestmark = pytest.mark.looptime

EPOCH_S = 1_000_000.0


class Machine:
    """Time of day of a machine, which can be stepped."""

    def __init__(self, step_s=0.0):
        self.step_s = step_s

    def read_s(self):
        return EPOCH_S + loop_time() + self.step_s


async def test_suspension_counts(monkeypatch):
    clock = WallClock(EPOCH_S)
    before_s = clock.now_s()
    monkeypatch.setattr(_wall, "suspended_s", lambda: clock.suspended_at_start_s + 9.0)
    assert clock.now_s() - before_s == pytest.approx(9.0, abs=0.01)


async def test_step_that_is_taken_back_is_ignored():
    machine = Machine()
    clock = WallClock(read_machine_s=machine.read_s)
    for machine.step_s in (8.0, 0.0, -8.0, 0.0):
        for _ in range(12):
            await asyncio.sleep(1.0)
            assert clock.now_s() == pytest.approx(EPOCH_S + loop_time(), abs=0.01)


async def test_process_started_during_a_step_adopts_the_right_time():
    machine = Machine(step_s=8.0)
    clock = WallClock(read_machine_s=machine.read_s)
    machine.step_s = 0.0
    for _ in range(32):
        clock.now_s()
        await asyncio.sleep(1.0)
    assert clock.now_s() == pytest.approx(EPOCH_S + loop_time(), abs=0.01)

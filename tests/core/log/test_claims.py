"""Claims on a role: at most one process holds it, as decided by the order of the log."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_core.log import (
    AppendRateLimiter,
    Claim,
    ClaimTable,
    LogUnavailable,
    RoleAcquired,
    RoleClaim,
    RoleHeldByOther,
)
from briardeal_standins.log import Faults, MemoryLog
from tests.core.log.samples import advance_time

pytestmark = pytest.mark.looptime


def make_claim(log, name):
    return RoleClaim(log, "c", "role", name, AppendRateLimiter(), random.Random(name))


async def test_one_of_two_claims_wins_and_the_next_holder_has_a_higher_token():
    log = MemoryLog()
    first, second = make_claim(log, "a"), make_claim(log, "b")
    outcomes = await asyncio.gather(first.acquire(), second.acquire())
    assert [type(outcome) for outcome in outcomes] == [RoleAcquired, RoleHeldByOther]
    renewed = await first.acquire()
    assert renewed.token == outcomes[0].token
    await advance_time(31)
    taken_over = await second.acquire()
    assert taken_over.token > renewed.token
    assert isinstance(await first.acquire(), RoleHeldByOther)


async def test_released_role_can_be_claimed_at_once():
    log = MemoryLog()
    first, second = make_claim(log, "a"), make_claim(log, "b")
    await first.acquire()
    await first.release()
    assert isinstance(await second.acquire(), RoleAcquired)


def test_released_role_can_be_claimed_by_a_clock_that_went_back():
    # Guards against a role that stays held as two readings of the log's clock differ slightly.
    table = ClaimTable()
    table.apply(Claim("role", "a", 30.0), 0, 100.0)
    table.apply(Claim("role", "a", 0.0, token=0), 1, 101.0)
    table.apply(Claim("role", "b", 30.0), 2, 100.9998)
    assert table.holders["role"].claimant == "b"


async def test_lease_counts_from_before_the_claim_was_sent():
    store = MemoryLog().store
    slow = make_claim(MemoryLog(store, Faults(delay_s=31)), "a")
    other = make_claim(MemoryLog(store), "b")
    late = await slow.acquire()
    assert late.valid_until_s < asyncio.get_running_loop().time()
    taken_over = await other.acquire()
    assert isinstance(taken_over, RoleAcquired)
    assert taken_over.token > late.token


async def test_renewal_after_the_lease_expired_has_no_effect():
    store = MemoryLog().store
    slow = make_claim(MemoryLog(store), "a")
    await slow.acquire()
    await advance_time(20)
    slow.log.faults.late_writes = 1
    slow.log.faults.late_write_s = 60
    assert isinstance(await slow.acquire(), LogUnavailable)
    await advance_time(61)
    assert isinstance(await make_claim(MemoryLog(store), "b").acquire(), RoleAcquired)


async def test_renewal_that_takes_longer_than_the_lease_does_not_acquire_the_role():
    class SlowToAppend(MemoryLog):
        append_delay_s = 0.0

        async def append(self, stream, record, append_id):
            await asyncio.sleep(self.append_delay_s)
            return await super().append(stream, record, append_id)

    log = SlowToAppend()
    slow = make_claim(log, "a")
    await slow.acquire()
    await advance_time(20)
    log.append_delay_s = 15
    assert isinstance(await slow.acquire(), LogUnavailable)
    log.append_delay_s = 0
    assert isinstance(await make_claim(log, "b").acquire(), RoleAcquired)


async def test_reader_that_starts_after_removed_claims_finds_the_same_holder():
    log = MemoryLog()
    first = make_claim(log, "a")
    held = await first.acquire()
    await first.acquire()
    log.store.drop_before("c", 1)
    outcome = await make_claim(log, "b").acquire()
    assert isinstance(outcome, RoleHeldByOther)
    assert outcome.holder.token == held.token


@pytest.mark.parametrize("seed", range(10))
async def test_holders_never_overlap_and_late_readers_agree(seed):
    rng = random.Random(seed)
    store = MemoryLog().store
    tokens, overlaps, valid_until_s = [], [], {}

    def record_lease(name, held):
        now_s = asyncio.get_running_loop().time()
        overlaps.extend(
            other for other, end_s in valid_until_s.items() if other != name and end_s > now_s
        )
        if held.valid_until_s > now_s:
            tokens.append((held.token, name))
            valid_until_s[name] = held.valid_until_s

    async def compete(name):
        mine = make_claim(MemoryLog(store), name)
        while True:
            outcome = await mine.acquire()
            if isinstance(outcome, RoleAcquired):
                record_lease(name, outcome)
                if rng.random() < 0.2:
                    valid_until_s[name] = 0
                    await mine.release()
            mine.log.faults = make_faults(rng)
            await asyncio.sleep(rng.uniform(0, 20))

    tasks = [asyncio.create_task(compete(name)) for name in "abc"]
    await advance_time(3000)
    for task in tasks:
        task.cancel()
    assert {name for _, name in tokens} == set("abc")
    assert overlaps == []
    assert tokens == sorted(tokens)
    late, full = make_claim(MemoryLog(store), "late"), make_claim(MemoryLog(store), "full")
    await full.acquire()
    store.drop_before("c", store.streams["c"].end // 2)
    await late.acquire()
    assert late.table.holders == full.table.holders


def make_faults(rng):
    return Faults(
        outage=rng.random() < 0.1,
        delay_s=rng.choice([0, 0.1, 5]),
        lost_acknowledgements=rng.choice([0, 0, 1]),
        late_writes=rng.choice([0, 0, 1]),
        late_write_s=rng.choice([1, 40]),
        double_writes=rng.choice([0, 1]),
    )

"""One process holds a role, by the order of the log."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_core.log import AppendBudget, Held, HeldByOther, LogUnavailable, RoleClaim
from briardeal_standins.log import Faults, MemoryLog
from tests.core.log.samples import settle

pytestmark = pytest.mark.looptime


def claim(log, name):
    return RoleClaim(log, "c", "role", name, AppendBudget(), random.Random(name))


async def test_one_of_two_wins_and_the_token_rises():
    log = MemoryLog()
    first, second = claim(log, "a"), claim(log, "b")
    outcomes = await asyncio.gather(first.acquire(), second.acquire())
    assert [type(outcome) for outcome in outcomes] == [Held, HeldByOther]
    renewed = await first.acquire()
    assert renewed.token == outcomes[0].token
    await settle(31)
    taken = await second.acquire()
    assert taken.token > renewed.token
    assert isinstance(await first.acquire(), HeldByOther)


async def test_release_hands_over_at_once():
    log = MemoryLog()
    first, second = claim(log, "a"), claim(log, "b")
    await first.acquire()
    await first.release()
    assert isinstance(await second.acquire(), Held)


async def test_lease_counts_from_before_the_claim_was_sent():
    store = MemoryLog().store
    slow = claim(MemoryLog(store, Faults(delay_s=31)), "a")
    other = claim(MemoryLog(store), "b")
    late = await slow.acquire()
    assert late.until_s < asyncio.get_running_loop().time()
    taken = await other.acquire()
    assert isinstance(taken, Held)
    assert taken.token > late.token


async def test_renewal_after_the_lease_ended_has_no_effect():
    store = MemoryLog().store
    slow = claim(MemoryLog(store), "a")
    await slow.acquire()
    await settle(20)
    slow.log.faults.late_writes = 1
    slow.log.faults.late_write_s = 60
    assert isinstance(await slow.acquire(), LogUnavailable)
    await settle(61)
    assert isinstance(await claim(MemoryLog(store), "b").acquire(), Held)


async def test_reader_that_starts_past_retention_agrees_on_the_holder():
    log = MemoryLog()
    first = claim(log, "a")
    held = await first.acquire()
    await first.acquire()
    log.store.drop_before("c", 1)
    outcome = await claim(log, "b").acquire()
    assert isinstance(outcome, HeldByOther)
    assert outcome.holder.token == held.token

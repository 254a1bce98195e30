"""The request of a key runs once, and repeating the key returns its outcome."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from briardeal.requests import KEY_TTL_S, Answer, IdempotencyKeys, KeyStore, Request
from briardeal_core.reasons import Reason, Refusal, RunState

pytestmark = pytest.mark.looptime

REQUEST = Request("sampling", "audit", b"draw", "text/plain", 10.0, idempotent=False)
BODY_BYTES = 100


class Runner:
    """Counts its runs and returns a fixed outcome."""

    def __init__(self, outcome, work_s=1.0):
        self.outcome = outcome
        self.work_s = work_s
        self.runs = 0

    async def __call__(self):
        self.runs += 1
        await asyncio.sleep(self.work_s)
        return self.outcome


def make_keys(**limits):
    loop = asyncio.get_running_loop()
    return IdempotencyKeys("entry~1", 7, loop.time, KeyStore(**limits))


async def test_repeated_key_is_refused_while_running_and_then_gets_the_same_answer():
    keys, runner = make_keys(), Runner(Answer(200, b"drawn", ""))
    key = keys.issue()
    assert type(key).parse(str(key)) == key
    first = asyncio.create_task(keys.run_once(key, REQUEST, runner))
    await asyncio.sleep(0.5)
    during = await keys.run_once(key, REQUEST, runner)
    assert (during.reason, during.run_state) == (Reason.KEY_IN_USE, RunState.UNKNOWN)
    assert await first == await keys.run_once(key, REQUEST, runner) == runner.outcome
    assert runner.runs == 1


async def test_request_continues_after_its_caller_disconnects():
    keys, runner = make_keys(), Runner(Answer(200, b"drawn", ""))
    key = keys.issue()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(keys.run_once(key, REQUEST, runner), 0.5)
    await asyncio.sleep(1)
    assert await keys.run_once(key, REQUEST, runner) == runner.outcome
    assert runner.runs == 1


async def test_key_can_be_reused_only_if_its_request_did_not_run():
    for state, runs in ((RunState.NOT_RUN, 2), (RunState.UNKNOWN, 1)):
        keys, runner = make_keys(), Runner(Refusal(Reason.ENDPOINT_FAILED, state))
        key = keys.issue()
        for _ in range(2):
            assert await keys.run_once(key, REQUEST, runner) == runner.outcome
        assert runner.runs == runs


async def test_key_is_refused_for_a_different_request_or_if_forged():
    keys, runner = make_keys(), Runner(Answer(200, b"drawn", ""))
    key = keys.issue()
    await keys.run_once(key, REQUEST, runner)
    for change in ({"body": b"other"}, {"customer": "desk"}):
        other = await keys.run_once(key, attrs.evolve(REQUEST, **change), runner)
        assert (other.reason, other.run_state) == (Reason.KEY_MISMATCH, RunState.NOT_RUN)
    forged = attrs.evolve(key, issued_s=key.issued_s + 10_000)
    assert (await keys.run_once(forged, REQUEST, runner)).reason is Reason.KEY_NOT_ISSUED
    assert runner.runs == 1


async def test_expired_key_does_not_run():
    keys, runner = make_keys(), Runner(Answer(200, b"drawn", ""))
    used, unused = keys.issue(), keys.issue()
    await keys.run_once(used, REQUEST, runner)
    await asyncio.sleep(KEY_TTL_S)
    for key in (used, unused):
        late = await keys.run_once(key, REQUEST, runner)
        assert (late.reason, late.run_state) == (Reason.KEY_EXPIRED, RunState.UNKNOWN)
    assert runner.runs == 1
    assert keys.store.records == {}
    assert keys.store.answer_bytes == 0


async def test_memory_is_bounded_and_records_outlive_their_answers():
    keys = make_keys(record_limit=4, answer_limit_bytes=2 * BODY_BYTES)
    runner = Runner(Answer(200, b"x" * BODY_BYTES, ""))
    used = [keys.issue() for _ in range(4)]
    for key in used:
        await keys.run_once(key, REQUEST, runner)
    full = await keys.run_once(keys.issue(), REQUEST, runner)
    assert (full.reason, full.run_state) == (Reason.KEYS_FULL, RunState.NOT_RUN)
    assert full.retry_after_s > KEY_TTL_S / 2
    dropped = await keys.run_once(used[0], REQUEST, runner)
    assert (dropped.reason, dropped.run_state) == (Reason.KEY_ANSWER_DROPPED, RunState.RAN)
    assert keys.store.answer_bytes == 2 * BODY_BYTES
    assert runner.runs == 4

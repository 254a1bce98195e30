"""Requests are routed between complete entries and run at most once for each key."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.requests import Answer, Request
from briardeal_core.reasons import Reason, RunState
from briardeal_standins.deployment import Deployment

pytestmark = pytest.mark.looptime

ENTRIES = {"a": "koper", "b": "koper", "c": "maribor"}
ANNOUNCE_S = 10.0
DEADLINE_S = 20.0


async def send(deployment, name, *, key="", body=b"draw"):
    deadline_s = asyncio.get_running_loop().time() + DEADLINE_S
    request = Request("sampling", "audit", body, "text/plain", deadline_s, not key, key)
    return await deployment.running[name].handle(request)


def issue_key(deployment, name):
    return str(deployment.running[name].keys.issue())


async def test_key_sent_through_another_entry_gets_the_same_answer():
    async with Deployment(ENTRIES) as deployment:
        endpoint = await deployment.add_endpoint("vm", "sampling", "koper")
        await asyncio.sleep(ANNOUNCE_S)
        key = issue_key(deployment, "a")
        first = await send(deployment, "a", key=key)
        assert first == Answer(200, b"draw", "text/plain")
        for other in ("b", "c"):
            assert await send(deployment, other, key=key) == first
        assert len(endpoint.runs) == 1
        mismatch = await send(deployment, "b", key=key, body=b"another")
        assert mismatch.reason is Reason.KEY_MISMATCH


@pytest.mark.parametrize(
    ("home_returns", "reason"), [(False, Reason.ENTRY_UNREACHABLE), (True, Reason.KEY_HOME_LOST)]
)
async def test_request_with_a_lost_home_is_unknown_and_not_run_again(home_returns, reason):
    async with Deployment(ENTRIES) as deployment:
        endpoint = await deployment.add_endpoint("vm", "sampling", "koper")
        await asyncio.sleep(ANNOUNCE_S)
        key = issue_key(deployment, "a")
        assert isinstance(await send(deployment, "b", key=key), Answer)
        await deployment.kill_entry("a")
        at_once = await send(deployment, "b", key=key)
        assert at_once.run_state is RunState.UNKNOWN
        if home_returns:
            await deployment.start_entry("a")
        await asyncio.sleep(ANNOUNCE_S)
        later = await send(deployment, "b", key=key)
        assert (later.reason, later.run_state) == (reason, RunState.UNKNOWN)
        assert len(endpoint.runs) == 1


@pytest.mark.parametrize("keyed", [False, True])
async def test_service_only_in_another_region_is_answered_from_there(keyed):
    async with Deployment(ENTRIES) as deployment:
        endpoint = await deployment.add_endpoint("vm", "sampling", "maribor")
        await asyncio.sleep(ANNOUNCE_S)
        key = issue_key(deployment, "a") if keyed else ""
        for name in ("a", "b"):
            assert await send(deployment, name, key=key) == Answer(200, b"draw", "text/plain")
        assert len(endpoint.runs) == (1 if keyed else 2)
        deployment.isolate("maribor")
        await asyncio.sleep(ANNOUNCE_S)
        refusal = await send(deployment, "a", key=issue_key(deployment, "a") if keyed else "")
        assert (refusal.reason, refusal.run_state) == (Reason.NO_ENDPOINT, RunState.NOT_RUN)


async def test_draining_entry_finishes_pending_requests_and_refuses_new_ones():
    async with Deployment(ENTRIES) as deployment:
        endpoint = await deployment.add_endpoint("vm", "sampling", "koper")
        await asyncio.sleep(ANNOUNCE_S)
        endpoint.work_s = lambda: 10.0
        key = issue_key(deployment, "a")
        pending = asyncio.create_task(send(deployment, "a"))
        homed = asyncio.create_task(send(deployment, "b", key=key))
        await asyncio.sleep(1)
        leaving = deployment.running["a"]
        drained = asyncio.create_task(leaving.drain())
        await asyncio.sleep(3)
        refusal = await send(deployment, "a")
        assert (refusal.reason, refusal.run_state) == (Reason.SHUTTING_DOWN, RunState.NOT_RUN)
        assert (leaving.ready, len(endpoint.runs)) == (False, 2)
        assert isinstance(await pending, Answer)
        assert isinstance(await homed, Answer)
        await drained
        assert isinstance(await send(deployment, "b"), Answer)


async def send_through_all_entries(deployment):
    for name in ENTRIES:
        key = issue_key(deployment, name)
        answers = [await send(deployment, other, key=key) for other in ENTRIES]
        answers.append(await send(deployment, name))
        assert answers == [Answer(200, b"draw", "text/plain")] * len(answers)


async def test_requests_append_nothing_and_continue_during_a_log_outage():
    async with Deployment(ENTRIES) as deployment:
        endpoint = await deployment.add_endpoint("vm", "sampling", "koper")
        await asyncio.sleep(ANNOUNCE_S)
        ends = count_entries(deployment)
        await send_through_all_entries(deployment)
        assert count_entries(deployment) == ends
        deployment.set_log_outage()
        await asyncio.sleep(600)
        await send_through_all_entries(deployment)
        assert len(endpoint.runs) == 2 * 2 * len(ENTRIES)


def count_entries(deployment):
    """Return the number of entries by stream, without the streams that owners renew claims on."""
    streams = deployment.store.streams.items()
    return {name: len(s.entries) for name, s in streams if not name.startswith("owners-")}

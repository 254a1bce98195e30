"""Configuration reaches entries without the log through their peers and never reverts."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from briardeal_core.configuration import Configuration, JobClass
from briardeal_core.configuration.store import Accepted, VersionedConfiguration
from briardeal_standins.deployment import Deployment

pytestmark = pytest.mark.looptime

ENTRIES = {"a": "koper", "b": "koper", "c": "maribor"}
APPLY_TIMEOUT_S = 6.0


def create_configuration(number):
    return Configuration(classes=(JobClass(name="c", finish_within_s=number),))


async def change(deployment, name, number):
    store = deployment.running[name].configuration
    outcome = await store.apply(create_configuration(number), store.version, "ann")
    assert isinstance(outcome, Accepted), outcome
    return outcome.version


def versions(deployment):
    return {name: entry.configuration.version for name, entry in deployment.running.items()}


@pytest.mark.parametrize("cut", ["b", "c"])
async def test_entry_cut_off_from_the_log_applies_a_change_in_time(cut):
    async with Deployment(ENTRIES) as deployment:
        deployment.set_log_outage(cut)
        for number in range(1, 4):
            version = await change(deployment, "a", number)
            await asyncio.sleep(APPLY_TIMEOUT_S)
            assert versions(deployment) == dict.fromkeys("abc", version)
            store = deployment.running[cut].configuration
            assert store.configuration == create_configuration(number)
        assert store.view.version < version


async def test_entry_restarted_in_a_log_outage_gets_the_version_from_peers():
    async with Deployment(ENTRIES) as deployment:
        await change(deployment, "a", 1)
        version = await change(deployment, "a", 2)
        await asyncio.sleep(APPLY_TIMEOUT_S)
        deployment.set_log_outage()
        await deployment.kill_entry("c")
        restarted = await deployment.start_entry("c")
        seen = []
        restarted.configuration.subscribe(lambda offered, _: seen.append(offered.version))
        await asyncio.sleep(2 * APPLY_TIMEOUT_S)
        assert seen == [version]
        deployment.set_log_outage(down=False)
        await asyncio.sleep(3600)
        assert seen == [version]
        assert restarted.configuration.follower.is_consistent


async def test_stale_peer_does_not_revert_the_others():
    async with Deployment(ENTRIES) as deployment:
        first = await change(deployment, "a", 1)
        await asyncio.sleep(APPLY_TIMEOUT_S)
        deployment.isolate("maribor")
        stale = deployment.running["c"].peers.hooks.configuration.value()
        assert msgspec.msgpack.decode(stale, type=VersionedConfiguration).version == first
        second = await change(deployment, "b", 2)
        await asyncio.sleep(60)
        assert versions(deployment) == {"a": second, "b": second, "c": first}
        deployment.running["a"].peers.hooks.configuration.offer(second + 1, stale)
        assert versions(deployment)["a"] == second
        deployment.heal()
        deployment.set_log_outage("c")
        await asyncio.sleep(2 * APPLY_TIMEOUT_S)
        assert versions(deployment) == dict.fromkeys("abc", second)

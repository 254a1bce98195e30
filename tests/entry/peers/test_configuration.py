"""Configuration spreads through peers and never reverts to an older version."""

from __future__ import annotations

import asyncio

import pytest

from tests.entry.peers.cluster import Cluster, wait_until

pytestmark = pytest.mark.looptime

SPREAD_S = 6.0


def all_have(cluster, configuration) -> bool:
    return all(node.fake.configuration == configuration for node in cluster.nodes.values())


@pytest.mark.parametrize("first", ["r0-d0-e0", "r1-d3-e2", "r0-d2-e1"])
async def test_configuration_spreads_from_one_entry_to_all(first):
    async with Cluster() as cluster:
        cluster.nodes[first].fake.configuration = (7, bytes(200_000))
        configuration = cluster.nodes[first].fake.configuration
        assert await wait_until(lambda: all_have(cluster, configuration), 2 * SPREAD_S) <= SPREAD_S


async def test_another_peer_is_asked_when_the_first_does_not_answer():
    async with Cluster(regions=1, domains=1) as cluster:
        asking, one, two = cluster.nodes.values()
        one.fake.configuration = two.fake.configuration = (7, b"seven")
        await asyncio.sleep(1)
        for silent, other in ((one, two), (two, one)):
            asking.fake.configuration = (0, b"")
            cluster.fabric.block([asking.name], [silent.name])
            assert (
                await wait_until(lambda: asking.fake.configuration == (7, b"seven"), SPREAD_S)
                < SPREAD_S
            )
            cluster.fabric.heal()
            assert other.name in asking.table.links


async def test_newest_version_wins_after_a_cut():
    async with Cluster() as cluster:
        names = list(cluster.nodes)
        cluster.fabric.cut(names[:12], names[12:])
        await asyncio.sleep(SPREAD_S)
        cluster.nodes["r0-d1-e1"].fake.configuration = (8, b"eight")
        cluster.nodes["r1-d1-e1"].fake.configuration = (9, b"nine")
        await asyncio.sleep(SPREAD_S)
        seen = {node.fake.configuration[0] for node in cluster.nodes.values()}
        assert seen == {8, 9}
        cluster.fabric.heal()
        await asyncio.sleep(SPREAD_S)
        assert all_have(cluster, (9, b"nine"))

"""Seeded random faults, checked by the outcomes that callers receive."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.peers import LEASE_S
from tests.entry.peers.cluster import Cluster
from tests.entry.peers.schedule import DETECTION_S, Schedule

pytestmark = pytest.mark.looptime


@pytest.mark.parametrize("seed", range(8))
async def test_membership_converges_and_no_request_runs_twice(seed):
    async with Cluster(domains=2, seed=seed) as cluster:
        schedule = Schedule(cluster, seed)
        for node in cluster.nodes.values():
            schedule.configure(node)
        assert await schedule.run() <= DETECTION_S
        await asyncio.sleep(LEASE_S)
        assert set(cluster.streams().values()) <= {1}
        schedule.history.check(cluster)

"""Seeded schedules of changes, faults and restarts, judged by an independent checker."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_core.configuration.store import Accepted
from tests.core.configuration.cluster import Cluster, sample
from tests.core.configuration.history import check_outcomes, check_versions, fold

pytestmark = pytest.mark.looptime

RUN_S = 240.0
SAMPLE_INTERVAL_S = 0.5


@pytest.mark.parametrize("seed", range(20))
async def test_history_holds(seed):
    rng = random.Random(seed)
    outcomes, samples = [], []
    async with Cluster("abcd", seed, retention_s=90, snapshot_interval_s=20) as cluster:
        tasks = [
            asyncio.create_task(watch(cluster, samples)),
            asyncio.create_task(break_things(cluster, rng)),
            *(asyncio.create_task(operate(cluster, rng, name, outcomes)) for name in "xyz"),
        ]
        await asyncio.sleep(RUN_S)
        for task in tasks[1:]:
            task.cancel()
        for log in cluster.logs.values():
            log.faults = type(log.faults)()
        await asyncio.sleep(30)
        tasks[0].cancel()
        versions = set(cluster.versions().values())
    winners = fold(cluster.log_store.kept)
    assert versions == {max(winners)}
    check_outcomes(winners, outcomes)
    check_versions(samples)
    assert sum(isinstance(outcome, Accepted) for _, outcome in outcomes) > 5


async def operate(cluster, rng, operator, outcomes):
    """Change the configuration through any node, with the version that it shows."""
    count = 0
    while True:
        await asyncio.sleep(rng.uniform(0, 10))
        store = cluster.nodes[rng.choice(sorted(cluster.nodes))].store
        count += 1
        author = f"{operator}{count}"
        outcomes.append((author, await store.apply(sample(count), store.version, author)))


async def break_things(cluster, rng):
    """Order faults for one node or for all, and replace processes."""
    while True:
        await asyncio.sleep(rng.uniform(1, 8))
        names = rng.choice([*cluster.logs, "abcd"])
        for name in names:
            faults = cluster.logs[name].faults
            faults.outage = rng.random() < 0.3
            faults.delay_s = rng.choice([0, 0, 0.2, 3])
            faults.lost_acknowledgements = rng.choice([0, 1, 3])
            faults.late_writes = rng.choice([0, 0, 1])
            faults.double_writes = rng.choice([0, 1])
            faults.double_deliveries = rng.choice([0, 2])
        if rng.random() < 0.3:
            await cluster.restart(*names[: rng.choice([1, 4])])


async def watch(cluster, samples):
    """Note the version of each process."""
    loop = asyncio.get_running_loop()
    while True:
        versions = {node.label: node.store.version for node in cluster.nodes.values()}
        samples.append((loop.time(), versions))
        await asyncio.sleep(SAMPLE_INTERVAL_S)

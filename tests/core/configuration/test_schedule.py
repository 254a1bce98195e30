"""Random schedules of changes, faults and restarts, verified by an independent checker."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_core.configuration.store import Accepted
from tests.core.configuration.checker import check_outcomes, check_versions, find_winners
from tests.core.configuration.cluster import Cluster, make_configuration

pytestmark = pytest.mark.looptime

RUN_S = 240.0
SAMPLE_INTERVAL_S = 0.5


@pytest.mark.parametrize("seed", range(20))
async def test_outcomes_agree_with_the_log(seed):
    rng = random.Random(seed)
    outcomes, samples = [], []
    async with Cluster("abcd", seed, retention_s=90, snapshot_interval_s=20) as cluster:
        tasks = [
            asyncio.create_task(sample_versions(cluster, samples)),
            asyncio.create_task(inject_faults(cluster, rng)),
            *(asyncio.create_task(apply_changes(cluster, rng, name, outcomes)) for name in "xyz"),
        ]
        await asyncio.sleep(RUN_S)
        for task in tasks[1:]:
            task.cancel()
        for log in cluster.logs.values():
            log.faults = type(log.faults)()
        await asyncio.sleep(30)
        tasks[0].cancel()
        versions = set(cluster.versions().values())
    winners = find_winners(cluster.log_store.recorded)
    assert versions == {max(winners)}
    check_outcomes(winners, outcomes)
    check_versions(samples)
    assert sum(isinstance(outcome, Accepted) for _, outcome in outcomes) > 5


async def apply_changes(cluster, rng, operator, outcomes):
    """Apply changes through random nodes, based on the version of the node."""
    count = 0
    while True:
        await asyncio.sleep(rng.uniform(0, 10))
        store = cluster.nodes[rng.choice(sorted(cluster.nodes))].store
        count += 1
        author = f"{operator}{count}"
        outcomes.append(
            (author, await store.apply(make_configuration(count), store.version, author))
        )


async def inject_faults(cluster, rng):
    """Inject log faults for one node or for all, and restart processes."""
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


async def sample_versions(cluster, samples):
    """Sample the version of each process."""
    loop = asyncio.get_running_loop()
    while True:
        versions = {node.label: node.store.version for node in cluster.nodes.values()}
        samples.append((loop.time(), versions))
        await asyncio.sleep(SAMPLE_INTERVAL_S)

"""Under random faults every accepted job is run as a full gang and none is run twice at once."""

from __future__ import annotations

import asyncio
import random

import pytest

from briardeal_core.clock import loop_time
from briardeal_core.jobs import JobRequest
from tests.entry.jobs.cluster import Cluster, create_job
from tests.entry.jobs.run_checker import check_runs

pytestmark = pytest.mark.looptime(noop_cycles=2)

FAULTS_S = 300
QUIET_S = 700


class FaultInjector:
    """Injects faults and submits jobs at random times, from a seeded generator."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.replaced_count = 0

    async def run(self) -> None:
        end_s = loop_time() + FAULTS_S
        tasks = []
        while loop_time() < end_s:
            await asyncio.sleep(self.rng.uniform(1, 8))
            fault = self.rng.choice(
                [
                    self.pause,
                    self.replace,
                    self.take_log_down,
                    self.disturb_appends,
                    self.cut_connection,
                    self.partition,
                ]
                + [self.restart_agent, self.stop_worker, self.lose_answers, self.submit]
                + [self.submit] * 4
            )
            tasks.append(asyncio.create_task(fault(self.rng.uniform(0.5, 45))))
        await asyncio.gather(*tasks)

    async def submit(self, _: float) -> None:
        job = create_job(
            tasks=self.rng.choice([1, 1, 2, 3, 4]),
            accelerators_per_task=self.rng.choice([1, 4, 8]),
            command=str(self.rng.uniform(1, 60)),
            idempotent=self.rng.random() < 0.7,
            checkpointable=self.rng.random() < 0.5,
        )
        outcome = await self.rng.choice(self.cluster.entries).jobs.submit(job)
        if isinstance(outcome, JobRequest):
            self.cluster.accepted[outcome.job_id] = outcome

    async def pause(self, duration_s: float) -> None:
        entry = self.rng.choice(self.cluster.entries)
        entry.pause()
        await asyncio.sleep(duration_s)
        entry.resume()

    async def replace(self, _: float) -> None:
        self.replaced_count += 1
        index = self.rng.randrange(len(self.cluster.entries))
        await self.cluster.replace(index, f"n{self.replaced_count}")

    async def take_log_down(self, duration_s: float) -> None:
        some = self.rng.choice([[], [self.rng.choice(self.cluster.entries)]])
        self.cluster.set_log_outage(True, *some)
        await asyncio.sleep(duration_s)
        self.cluster.set_log_outage(False)

    async def disturb_appends(self, _: float) -> None:
        faults = self.rng.choice(self.cluster.entries).log.faults
        name = self.rng.choice(["lost_acknowledgements", "double_writes", "late_writes"])
        setattr(faults, name, 3)

    async def cut_connection(self, duration_s: float) -> None:
        network = self.rng.choice(self.cluster.agents).network
        address = self.rng.choice(self.cluster.addresses)
        network.cut(address)
        await asyncio.sleep(self.rng.choice([0, duration_s]))
        network.heal(address)

    async def partition(self, duration_s: float) -> None:
        pair = frozenset(entry.name for entry in self.rng.sample(self.cluster.entries, 2))
        self.cluster.partitioned.add(pair)
        await asyncio.sleep(duration_s)
        self.cluster.partitioned.discard(pair)

    async def restart_agent(self, _: float) -> None:
        await self.rng.choice(self.cluster.agents).restart()

    async def stop_worker(self, duration_s: float) -> None:
        worker = self.rng.choice(self.cluster.agents).worker
        worker.down = True
        await asyncio.sleep(duration_s / 2)
        worker.down = False

    async def lose_answers(self, _: float) -> None:
        self.rng.choice(self.cluster.agents).worker.lost_answers = 2


@pytest.mark.parametrize("seed", range(6))
async def test_random_faults_neither_lose_nor_double_jobs(seed):
    async with Cluster(entries=3, workers=4, seed=seed) as cluster:
        await cluster.wait_owner()
        await FaultInjector(cluster, seed).run()
        await asyncio.sleep(QUIET_S)
        check_runs(cluster, loop_time())
        assert cluster.accepted

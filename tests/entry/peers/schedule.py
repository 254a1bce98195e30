"""Schedules of random faults and requests, and a checker of the outcomes that callers received."""

from __future__ import annotations

import asyncio
import random

import attrs

from briardeal.requests import Answer
from briardeal_core.reasons import RunState
from briardeal_protocol.peers import DomainLoad, ServiceLoad
from tests.entry.peers.cluster import request, wait_until

DETECTION_S = 6.0
STEPS = 25
LOAD = DomainLoad((ServiceLoad("draws", 2, 16, 9),))


@attrs.define
class History:
    """Outcomes that callers received, by idempotency key."""

    outcomes: dict = attrs.field(factory=dict)

    def find_duplicates(self, cluster) -> list[str]:
        nodes = [*cluster.nodes.values(), *cluster.killed]
        return [key for key in self.outcomes if sum(node.fake.runs[key] for node in nodes) > 1]

    def check(self, cluster):
        nodes = [*cluster.nodes.values(), *cluster.killed]
        assert len(self.outcomes) >= STEPS
        assert self.find_duplicates(cluster) == []
        for key, outcome in self.outcomes.items():
            runs = sum(node.fake.runs[key] for node in nodes)
            if isinstance(outcome, Answer):
                assert (runs, outcome.body) == (1, key.encode())
            elif outcome.run_state is RunState.NOT_RUN:
                assert runs == 0, (key, outcome)


class Schedule:
    """A sequence of random faults and requests, determined by a seed."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.history = History()
        self.calls = []

    async def run(self):
        faults = [
            self.kill,
            self.restart,
            self.silence,
            self.block,
            self.cut_regions,
            self.duplicate,
        ]
        for step in range(STEPS):
            await self.rng.choice(faults)()
            for number in range(3):
                self.calls.append(asyncio.create_task(self.call(f"k{step}-{number}")))
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            if self.rng.random() < 0.4:
                self.heal()
        self.heal()
        healed_s = await wait_until(self.cluster.converged, 2 * DETECTION_S)
        await asyncio.gather(*self.calls)
        return healed_s

    def heal(self):
        self.cluster.fabric.heal()
        self.cluster.fabric.duplicated.clear()

    def pick_name(self):
        return self.rng.choice(sorted(self.cluster.nodes))

    async def call(self, key):
        source, home = self.cluster.nodes[self.pick_name()], self.cluster.nodes[self.pick_name()]
        sent = request(key=key, timeout_s=self.rng.uniform(0.5, 8), body=key.encode())
        forwarder = source.service.forwarder
        if self.rng.random() < 0.5 and home is not source:
            outcome = await forwarder.forward_to_home(sent, home.name, home.member.incarnation)
        else:
            outcome = await forwarder.forward_to_other_region(sent)
        if outcome is not None:
            self.history.outcomes[key] = outcome

    async def kill(self):
        if len(self.cluster.nodes) > 6:
            self.cluster.kill(self.pick_name())

    async def restart(self):
        missing = [place for place in self.cluster.places if place[2] not in self.cluster.nodes]
        if missing:
            node = await self.cluster.start(*self.rng.choice(missing))
            self.configure(node)

    async def silence(self):
        self.cluster.fabric.silence(self.pick_name(), self.pick_name())

    async def block(self):
        self.cluster.fabric.block([self.pick_name()], [self.pick_name()])

    async def cut_regions(self):
        first = [name for name in self.cluster.nodes if name.startswith("r0")]
        second = [name for name in self.cluster.nodes if name.startswith("r1")]
        self.cluster.fabric.cut(first, second)

    async def duplicate(self):
        self.cluster.fabric.duplicated.add((self.pick_name(), self.pick_name()))

    def configure(self, node):
        node.fake.load = {node.member.failure_domain: LOAD}
        node.fake.delay_s = self.rng.uniform(0, 2)

"""Nodes with a configuration store, and a log that retains every entry for the checker."""

from __future__ import annotations

import asyncio
import random

from briardeal_core.clock import WallClock
from briardeal_core.configuration import Configuration, JobClass
from briardeal_core.configuration.store import ConfigurationStore
from briardeal_core.log import AppendRateLimiter
from briardeal_standins.log import LogStore, MemoryLog

PEER_LATENCY_S = 0.01
EXCHANGE_INTERVAL_S = 1.0
EPOCH_S = 1e9


class RecordingStore(LogStore):
    """A log store that records every entry regardless of its retention."""

    def __init__(self, retention_s=None):
        super().__init__(retention_s, WallClock(epoch_s=EPOCH_S))
        self.recorded = []

    def append(self, stream, record, append_id):
        appended = super().append(stream, record, append_id)
        if stream == "configuration":
            self.recorded.append((appended.offset, append_id, bytes(record)))
        return appended


class Exchange:
    """Fake of the connections to peers: offers their configurations to one store."""

    def __init__(self, store, peers):
        self.store = store
        self.peers = peers

    async def start(self):
        self.task = asyncio.create_task(self._run())

    async def stop(self):
        self.task.cancel()

    async def _run(self):
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            for peer in self.peers():
                newest = peer.store.newest()
                await asyncio.sleep(PEER_LATENCY_S)
                if newest is not None and newest.version > self.store.version_for_peers:
                    self.store.offer(newest)


class Node:
    """One process with its store and its own connection to the log."""

    def __init__(self, cluster, name, generation):
        self.label = f"{name}{generation}"
        rng = random.Random(f"{cluster.seed} {self.label}")
        self.log = cluster.logs[name]
        self.store = ConfigurationStore(
            self.log,
            name,
            AppendRateLimiter(),
            rng,
            clock=cluster.log_store.clock,
            snapshot_interval_s=cluster.snapshot_interval_s,
        )
        self.exchange = Exchange(self.store, lambda: cluster.peers_of(name))


class Cluster:
    """Nodes by name; each can be disconnected from the log or restarted."""

    def __init__(self, names="abc", seed=0, retention_s=None, snapshot_interval_s=21_600):
        self.seed = seed
        self.snapshot_interval_s = snapshot_interval_s
        self.log_store = RecordingStore(retention_s)
        self.logs = {name: MemoryLog(self.log_store) for name in names}
        self.nodes = {}
        self.generation = 0

    async def __aenter__(self):
        for name in self.logs:
            await self.start(name)
        return self

    async def __aexit__(self, *_):
        for name in list(self.nodes):
            await self.stop(name)

    async def start(self, name):
        self.generation += 1
        node = Node(self, name, self.generation)
        self.nodes[name] = node
        await node.store.start()
        await node.exchange.start()

    async def stop(self, name):
        node = self.nodes.pop(name)
        await node.exchange.stop()
        await node.store.stop()

    async def restart(self, *names):
        for name in names:
            await self.stop(name)
        for name in names:
            await self.start(name)

    def peers_of(self, name):
        return [node for other, node in self.nodes.items() if other != name]

    def set_outage(self, *names, down=True):
        for name in names:
            self.logs[name].faults.outage = down

    def versions(self):
        return {name: node.store.version for name, node in self.nodes.items()}


def make_configuration(number):
    """Return a configuration that differs for each number."""
    return Configuration(classes=(JobClass(name="c", finish_within_s=number + 1),))

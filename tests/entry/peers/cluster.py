"""A cluster of entries on one event loop, with injected network faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import attrs

from briardeal.peers import PeerHooks, PeerService
from briardeal.requests import Answer, Request
from briardeal_protocol.peers import DomainLoad, Member, MemoryPeerFabric

CONVERGE_S = 8.0
REGION_LATENCY_S = 0.008


@attrs.define
class FakeEntry:
    """Fake of the parts of an entry that the peer service uses."""

    configuration: tuple[int, bytes] = (0, b"")
    read_s: float | None = None
    token: int = 0
    load: dict[str, DomainLoad] = attrs.field(factory=dict)
    entries: tuple[str, ...] = ()
    delay_s: float = 0.0
    runs: Counter = attrs.field(factory=Counter)
    outcomes: dict[str, Answer] = attrs.field(factory=dict)
    homed: dict[str, asyncio.Task] = attrs.field(factory=dict)

    def version(self) -> int:
        return self.configuration[0]

    def value(self) -> bytes:
        return self.configuration[1]

    def offer(self, version: int, value: bytes) -> None:
        self.configuration = max(self.configuration, (version, value))

    def last_read_s(self) -> float | None:
        return self.read_s

    def highest_token(self) -> int:
        return self.token

    def loads(self) -> dict[str, DomainLoad]:
        return self.load

    def set_entries(self, entries: tuple[str, ...]) -> None:
        self.entries = entries

    async def answer_home_request(self, request: Request) -> Answer:
        if request.key not in self.homed:
            self.homed[request.key] = asyncio.create_task(self.answer_remote_request(request))
        return await self.homed[request.key]

    async def answer_remote_request(self, request: Request) -> Answer:
        self.runs[request.key] += 1
        await asyncio.sleep(self.delay_s)
        return Answer(200, request.body, request.content_type)


@attrs.define(eq=False)
class Node:
    """An entry of the cluster."""

    member: Member
    service: PeerService
    fake: FakeEntry

    @property
    def table(self):
        return self.service.table

    @property
    def name(self) -> str:
        return self.member.entry_id


class Cluster:
    """Entries of several regions, connected by an in-memory network."""

    def __init__(self, regions=2, domains=4, entries=3, seed=1):
        self.fabric = MemoryPeerFabric()
        self.nodes: dict[str, Node] = {}
        self.incarnation = 0
        self.rng = random.Random(seed)
        self.seeds = ()
        self.killed: list[Node] = []
        self.places = [
            (f"r{r}", f"r{r}-d{d}", f"r{r}-d{d}-e{e}")
            for r in range(regions)
            for d in range(domains)
            for e in range(entries)
        ]

    async def __aenter__(self):
        names = [name for _, _, name in self.places]
        self.seeds = (names[0], names[-1])
        for source in names:
            for target in names:
                if source[:2] != target[:2]:
                    self.fabric.delays[source, target] = REGION_LATENCY_S
        for place in self.places:
            await self.start(*place)
        await asyncio.sleep(CONVERGE_S)
        return self

    async def __aexit__(self, *error):
        for node in [*self.nodes.values(), *self.killed]:
            await node.service.stop()

    async def start(self, region, domain, name, address=None) -> Node:
        self.incarnation += 1
        address = address or name
        member = Member(name, self.incarnation, region, domain, address, f"{name}:agents")
        fake = FakeEntry()
        hooks = PeerHooks(fake, fake, fake, fake, fake.set_entries)
        rng = random.Random(self.rng.random())
        service = PeerService(member, self.fabric.network_at(address), self.seeds, hooks, rng)
        self.nodes[name] = Node(member, service, fake)
        await service.start()
        return self.nodes[name]

    def kill(self, name) -> Node:
        """Make a node vanish without notice to others; it is stopped with the cluster."""
        node = self.nodes.pop(name)
        self.fabric.kill(node.member.peer_address)
        self.killed.append(node)
        node.service.network = None
        node.service.listener = None
        for task in list(node.service.tasks):
            task.cancel()
        return node

    def expected(self) -> frozenset[tuple[str, int]]:
        return frozenset((n.name, n.member.incarnation) for n in self.nodes.values())

    def converged(self) -> bool:
        return all(node.table.live_entries() == self.expected() for node in self.nodes.values())

    def streams(self) -> Counter:
        """Count the open connections between pairs of failure domains of different regions."""
        places = {n.member.peer_address: n.member for n in self.nodes.values()}
        pairs = Counter()
        for pipe in self.fabric.open_pipes():
            ends = (places.get(pipe.source), places.get(pipe.target))
            if None not in ends and ends[0].region != ends[1].region:
                pairs[tuple(sorted(end.failure_domain for end in ends))] += 1
        return pairs


def request(key="k", service="draws", timeout_s=5.0, body=b"body", idempotent=False) -> Request:
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    return Request(service, "customer", body, "text/plain", deadline_s, idempotent, key)


async def wait_until(condition, limit_s) -> float:
    """Wait until a condition holds or the limit has passed; return the seconds waited."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition() and loop.time() - started_s < limit_s:
        await asyncio.sleep(0.05)
    return loop.time() - started_s

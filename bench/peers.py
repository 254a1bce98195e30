"""Links between entries: bytes, seconds to notice and to spread, doubled executions."""

from __future__ import annotations

import asyncio
import random
from statistics import mean
from typing import TYPE_CHECKING

import attrs
import looptime

from bench.figures import Bound, Figure
from briardeal.membership import AgentEntry, AgentTable
from briardeal.peers import LEASE_S, AgentLoads
from briardeal_core.jobs import WorkerShape
from briardeal_protocol.messages import AgentHello, EndpointState, WorkerState
from tests.entry.peers.cluster import Cluster, Node, wait_until
from tests.entry.peers.schedule import Schedule

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GROUP = "peers"
AGENTS = (157, 315, 630)
SERVICES = 12
MANY_SERVICES = 48
SLOTS = 8
MEASURED_S = 60
WARM_UP_S = 5
SCHEDULES = 12
CUTS = 5
LIMIT_S = 60.0
NODE_BYTES_S = Bound("<=", 3000)
NOTICE_S = Bound("<=", 6)
FOUND_S = Bound("<=", LEASE_S)
SPREAD_S = Bound("<=", 6)
NONE = Bound("==", 0)


def measure() -> list[Figure]:
    """Return the figures of 24 entries in 2 regions with 4 failure domains each."""
    return [
        *_measure_bytes(),
        _figure("notice a dead entry, slowest", _run(_notice_dead), "s", NOTICE_S),
        _figure("replace a silent link, slowest", _run(_replace_silent), "s", NOTICE_S),
        *_measure_cut(),
        _figure("configuration spread, log down for half, slowest", _run(_spread), "s", SPREAD_S),
        _figure("doubled executions through forwards", _run(_doubled), "requests", NONE),
    ]


def _measure_bytes() -> list[Figure]:
    figures = []
    loads = {agents: _run(lambda agents=agents: _bytes(agents)) for agents in AGENTS}
    for agents, load in loads.items():
        name = f"bytes sent and received, {agents} agents"
        figures.append(_figure(f"{name}, busiest entry", load.busiest, "B/s", NODE_BYTES_S))
        figures.append(_figure(f"{name}, mean entry", load.mean, "B/s"))
        figures.append(_figure(f"between regions, {agents} agents, all entries", load.far, "B/s"))
    crowded = _run(lambda: _bytes(AGENTS[-1], services=MANY_SERVICES))
    name = f"bytes sent and received, {AGENTS[-1]} agents, {MANY_SERVICES} services, busiest"
    figures.append(_figure(name, crowded.busiest, "B/s", NODE_BYTES_S))
    full = _run(lambda: _bytes(AGENTS[-1], deltas=False))
    name = f"the same with full state each second, {AGENTS[-1]} agents"
    figures.append(_figure(name, full.busiest, "B/s"))
    few, many = AGENTS[0], AGENTS[-1]
    slope = (loads[many].mean - loads[few].mean) / (many - few)
    return [*figures, _figure("slope of the mean entry", slope, "B/s/agent")]


@attrs.frozen
class Load:
    """Bytes a second, sent and received."""

    busiest: float
    mean: float
    far: float


async def _bytes(agents: int, services: int = SERVICES, deltas: bool = True) -> Load:
    rng = random.Random(agents)
    async with Cluster() as cluster:
        tables = {
            region: _agent_table(cluster, region, agents // 2, services) for region in ("r0", "r1")
        }
        for node in cluster.nodes.values():
            table = tables[node.member.region]
            loads = AgentLoads(table, lambda: 0, node.member.failure_domain)
            node.service.reported_load.source = loads
        await asyncio.sleep(WARM_UP_S)
        before = {name: _carried(node) for name, node in cluster.nodes.items()}
        far_before = sum(_carried(node, near=False) for node in cluster.nodes.values())
        for _ in range(MEASURED_S):
            for table in tables.values():
                _work(table, rng)
            if not deltas:
                _resync(cluster)
            await asyncio.sleep(1)
        rates = [(_carried(n) - before[n.name]) / MEASURED_S for n in cluster.nodes.values()]
        far = sum(_carried(node, near=False) for node in cluster.nodes.values()) - far_before
        return Load(max(rates), mean(rates), far / 2 / MEASURED_S)


def _resync(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        for session in node.service.sessions.values():
            session.update_builder.resync()


def _agent_table(cluster: Cluster, region: str, agents: int, services: int) -> AgentTable:
    table = AgentTable(LIMIT_S, lambda: 0.0)
    domains = sorted({domain for r, domain, _ in cluster.places if r == region})
    for number in range(agents):
        domain = domains[number % len(domains)]
        endpoint = EndpointState(
            service=f"service-{number % services}",
            address="127.0.0.1:1",
            incarnation=1,
            slots=SLOTS,
            connections=64,
        )
        name = f"{region}-agent-{number}"
        shape = WorkerShape(
            worker_id=name, region=region, failure_domain=domain, rack="rack", accelerators=2
        )
        hello = AgentHello(
            agent_id=name,
            incarnation=1,
            region=region,
            failure_domain=domain,
            endpoint=endpoint,
            worker=WorkerState(shape=shape),
        )
        table.agents[name] = AgentEntry(hello, None, endpoint, 0.0)
    return table


def _work(table: AgentTable, rng: random.Random) -> None:
    """Let every endpoint take or finish requests, and one agent leave or come back."""
    for agent in table.agents.values():
        fields = {name: getattr(agent.endpoint, name) for name in agent.endpoint.__struct_fields__}
        fields["slots_in_use"] = rng.randint(0, SLOTS)
        agent.endpoint = EndpointState(**fields)
    agent = rng.choice(list(table.agents.values()))
    agent.leaving = not agent.leaving


def _carried(node: Node, near: bool = True) -> int:
    for link in node.service.sessions:
        node.service.traffic.sample(link)
    totals = node.service.traffic
    regions = set(totals.sent) | set(totals.received)
    if not near:
        regions -= {node.member.region}
    return sum(totals.sent[region] + totals.received[region] for region in regions)


async def _notice_dead() -> float:
    async with Cluster() as cluster:
        slowest_s = 0.0
        for name in ("r0-d0-e1", "r0-d3-e2", "r1-d2-e0", "r1-d3-e1"):
            cluster.kill(name)
            slowest_s = max(slowest_s, await wait_until(cluster.converged, LIMIT_S))
            await asyncio.sleep(LIMIT_S)
        return slowest_s


async def _replace_silent() -> float:
    async with Cluster() as cluster:
        slowest_s = 0.0
        names = sorted(cluster.nodes)
        for source in names[::5]:
            node = cluster.nodes[source]
            for target, link in list(node.table.links.items())[::3]:
                cluster.fabric.silence(source, target)
                replaced = _is_replaced(node, link)
                slowest_s = max(slowest_s, await wait_until(replaced, LIMIT_S))
        return slowest_s


def _is_replaced(node: Node, link: object) -> Callable[[], bool]:
    return lambda: node.table.links.get(link.member.entry_id, link) is not link


def _measure_cut() -> list[Figure]:
    noticed_s, found_s = _run(_cut_regions)
    return [
        _figure("notice a cut between regions, slowest", noticed_s, "s", NOTICE_S),
        _figure("find each other after a cut, slowest", found_s, "s", FOUND_S),
    ]


async def _cut_regions() -> tuple[float, float]:
    noticed_s, found_s = 0.0, 0.0
    async with Cluster() as cluster:
        names = sorted(cluster.nodes)
        for cut in range(CUTS):
            cluster.fabric.cut(names[:12], names[12:])
            noticed_s = max(noticed_s, await wait_until(_is_alone(cluster), LIMIT_S))
            await asyncio.sleep(LIMIT_S + cut / CUTS)
            cluster.fabric.heal()
            found_s = max(found_s, await wait_until(cluster.converged, LIMIT_S))
            await asyncio.sleep(LIMIT_S)
    return noticed_s, found_s


def _is_alone(cluster: Cluster) -> Callable[[], bool]:
    return lambda: not any(node.table.remote_members() for node in cluster.nodes.values())


async def _spread() -> float:
    rng = random.Random(1)
    slowest_s = 0.0
    async with Cluster() as cluster:
        names = sorted(cluster.nodes)
        halves = [names[:12], names[12:], *(rng.sample(names, 12) for _ in range(4))]
        for version, half in enumerate([*halves, names[:1]], start=1):
            for name in half:
                cluster.nodes[name].fake.configuration = (version, b"configuration")
            holds = _all_hold(cluster, version)
            slowest_s = max(slowest_s, await wait_until(holds, LIMIT_S))
            await asyncio.sleep(rng.random())
    return slowest_s


def _all_hold(cluster: Cluster, version: int) -> Callable[[], bool]:
    return lambda: all(node.fake.configuration[0] == version for node in cluster.nodes.values())


async def _doubled() -> float:
    doubled = 0
    for seed in range(SCHEDULES):
        async with Cluster(domains=2, seed=seed) as cluster:
            schedule = Schedule(cluster, seed)
            for node in cluster.nodes.values():
                schedule.configure(node)
            await schedule.run()
            doubled += len(schedule.history.find_duplicates(cluster))
    return doubled


def _run(measurement: Callable[[], Awaitable[object]]) -> object:
    """Return the outcome of a measurement on virtual time."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(measurement())


def _figure(name: str, value: float, unit: str, bound: Bound | None = None) -> Figure:
    return Figure(GROUP, name, value, unit, bound)

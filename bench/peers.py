"""Links between entries: traffic, time to detect faults and spread state, double executions."""

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
PARTITIONS = 5
WAIT_LIMIT_S = 60.0
NODE_BYTES_S = Bound("<=", 3000)
DETECTION_S = Bound("<=", 6)
RECONNECTION_S = Bound("<=", LEASE_S)
SPREAD_S = Bound("<=", 6)
ZERO = Bound("==", 0)


def measure() -> list[Figure]:
    """Return the figures of 24 entries in 2 regions with 4 failure domains each."""
    return [
        *_measure_bytes(),
        _figure(
            "notice a dead entry, slowest",
            _run_virtual(_measure_failure_detection),
            "s",
            DETECTION_S,
        ),
        _figure(
            "replace a silent link, slowest",
            _run_virtual(_measure_link_replacement),
            "s",
            DETECTION_S,
        ),
        *_measure_partition(),
        _figure(
            "configuration spread, log down for half, slowest",
            _run_virtual(_measure_configuration_spread),
            "s",
            SPREAD_S,
        ),
        _figure(
            "doubled executions through forwards",
            _run_virtual(_count_double_executions),
            "requests",
            ZERO,
        ),
    ]


def _measure_bytes() -> list[Figure]:
    figures = []
    traffic_by_agents = {
        agents: _run_virtual(lambda agents=agents: _measure_traffic(agents)) for agents in AGENTS
    }
    for agents, traffic in traffic_by_agents.items():
        name = f"bytes sent and received, {agents} agents"
        figures.append(_figure(f"{name}, busiest entry", traffic.busiest, "B/s", NODE_BYTES_S))
        figures.append(_figure(f"{name}, mean entry", traffic.mean, "B/s"))
        figures.append(
            _figure(
                f"between regions, {agents} agents, all entries", traffic.between_regions, "B/s"
            )
        )
    crowded = _run_virtual(lambda: _measure_traffic(AGENTS[-1], services=MANY_SERVICES))
    name = f"bytes sent and received, {AGENTS[-1]} agents, {MANY_SERVICES} services, busiest"
    figures.append(_figure(name, crowded.busiest, "B/s", NODE_BYTES_S))
    full = _run_virtual(lambda: _measure_traffic(AGENTS[-1], deltas=False))
    name = f"the same with full state each second, {AGENTS[-1]} agents"
    figures.append(_figure(name, full.busiest, "B/s"))
    few, many = AGENTS[0], AGENTS[-1]
    slope = (traffic_by_agents[many].mean - traffic_by_agents[few].mean) / (many - few)
    return [*figures, _figure("slope of the mean entry", slope, "B/s/agent")]


@attrs.frozen
class Traffic:
    """Traffic of the links between entries, in bytes per second.

    Parameters
    ----------
    busiest, mean
        Bytes sent and received by the busiest entry, and on average by an entry.
    between_regions
        Bytes that all entries send to other regions.
    """

    busiest: float
    mean: float
    between_regions: float


async def _measure_traffic(agents: int, services: int = SERVICES, deltas: bool = True) -> Traffic:
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
        before = {name: _count_transferred_bytes(node) for name, node in cluster.nodes.items()}
        between_regions_before = sum(
            _count_transferred_bytes(node, own_region=False) for node in cluster.nodes.values()
        )
        for _ in range(MEASURED_S):
            for table in tables.values():
                _change_state(table, rng)
            if not deltas:
                _resync(cluster)
            await asyncio.sleep(1)
        rates = [
            (_count_transferred_bytes(n) - before[n.name]) / MEASURED_S
            for n in cluster.nodes.values()
        ]
        between_regions = (
            sum(_count_transferred_bytes(node, own_region=False) for node in cluster.nodes.values())
            - between_regions_before
        )
        return Traffic(max(rates), mean(rates), between_regions / 2 / MEASURED_S)


def _resync(cluster: Cluster) -> None:
    for node in cluster.nodes.values():
        for session in node.service.sessions.values():
            session.update_builder.resync()


def _agent_table(cluster: Cluster, region: str, agents: int, services: int) -> AgentTable:
    table = AgentTable(WAIT_LIMIT_S, lambda: 0.0)
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


def _change_state(table: AgentTable, rng: random.Random) -> None:
    """Change the slots in use of every endpoint, and let one agent leave or return."""
    for agent in table.agents.values():
        fields = {name: getattr(agent.endpoint, name) for name in agent.endpoint.__struct_fields__}
        fields["slots_in_use"] = rng.randint(0, SLOTS)
        agent.endpoint = EndpointState(**fields)
    agent = rng.choice(list(table.agents.values()))
    agent.leaving = not agent.leaving


def _count_transferred_bytes(node: Node, own_region: bool = True) -> int:
    for link in node.service.sessions:
        node.service.traffic.sample(link)
    traffic = node.service.traffic
    regions = set(traffic.sent) | set(traffic.received)
    if not own_region:
        regions -= {node.member.region}
    return sum(traffic.sent[region] + traffic.received[region] for region in regions)


async def _measure_failure_detection() -> float:
    async with Cluster() as cluster:
        slowest_s = 0.0
        for name in ("r0-d0-e1", "r0-d3-e2", "r1-d2-e0", "r1-d3-e1"):
            cluster.kill(name)
            slowest_s = max(slowest_s, await wait_until(cluster.converged, WAIT_LIMIT_S))
            await asyncio.sleep(WAIT_LIMIT_S)
        return slowest_s


async def _measure_link_replacement() -> float:
    async with Cluster() as cluster:
        slowest_s = 0.0
        names = sorted(cluster.nodes)
        for source in names[::5]:
            node = cluster.nodes[source]
            for target, link in list(node.table.links.items())[::3]:
                cluster.fabric.silence(source, target)
                replaced = _is_replaced(node, link)
                slowest_s = max(slowest_s, await wait_until(replaced, WAIT_LIMIT_S))
        return slowest_s


def _is_replaced(node: Node, link: object) -> Callable[[], bool]:
    return lambda: node.table.links.get(link.member.entry_id, link) is not link


def _measure_partition() -> list[Figure]:
    detected_s, reconnected_s = _run_virtual(_partition_regions)
    return [
        _figure("notice a cut between regions, slowest", detected_s, "s", DETECTION_S),
        _figure("find each other after a cut, slowest", reconnected_s, "s", RECONNECTION_S),
    ]


async def _partition_regions() -> tuple[float, float]:
    detected_s, reconnected_s = 0.0, 0.0
    async with Cluster() as cluster:
        names = sorted(cluster.nodes)
        for number in range(PARTITIONS):
            cluster.fabric.cut(names[:12], names[12:])
            detected_s = max(
                detected_s, await wait_until(_are_regions_separate(cluster), WAIT_LIMIT_S)
            )
            await asyncio.sleep(WAIT_LIMIT_S + number / PARTITIONS)
            cluster.fabric.heal()
            reconnected_s = max(reconnected_s, await wait_until(cluster.converged, WAIT_LIMIT_S))
            await asyncio.sleep(WAIT_LIMIT_S)
    return detected_s, reconnected_s


def _are_regions_separate(cluster: Cluster) -> Callable[[], bool]:
    return lambda: not any(node.table.remote_members() for node in cluster.nodes.values())


async def _measure_configuration_spread() -> float:
    rng = random.Random(1)
    slowest_s = 0.0
    async with Cluster() as cluster:
        names = sorted(cluster.nodes)
        halves = [names[:12], names[12:], *(rng.sample(names, 12) for _ in range(4))]
        for version, half in enumerate([*halves, names[:1]], start=1):
            for name in half:
                cluster.nodes[name].fake.configuration = (version, b"configuration")
            holds = _have_version(cluster, version)
            slowest_s = max(slowest_s, await wait_until(holds, WAIT_LIMIT_S))
            await asyncio.sleep(rng.random())
    return slowest_s


def _have_version(cluster: Cluster, version: int) -> Callable[[], bool]:
    return lambda: all(node.fake.configuration[0] == version for node in cluster.nodes.values())


async def _count_double_executions() -> float:
    doubled = 0
    for seed in range(SCHEDULES):
        async with Cluster(domains=2, seed=seed) as cluster:
            schedule = Schedule(cluster, seed)
            for node in cluster.nodes.values():
                schedule.configure(node)
            await schedule.run()
            doubled += len(schedule.history.find_duplicates(cluster))
    return doubled


def _run_virtual(measurement: Callable[[], Awaitable[object]]) -> object:
    """Run a measurement on virtual time and return its result."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(measurement())


def _figure(name: str, value: float, unit: str, bound: Bound | None = None) -> Figure:
    return Figure(GROUP, name, value, unit, bound)

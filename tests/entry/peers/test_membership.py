"""Entries discover each other and detect lost entries within seconds."""

from __future__ import annotations

import asyncio

import pytest

from briardeal.peers import LEASE_S
from briardeal_protocol.peers import DomainLoad, ServiceLoad
from tests.entry.peers.cluster import Cluster, wait_until

pytestmark = pytest.mark.looptime

DETECTION_S = 6.0
HOUR_S = 3600.0


def has_one_stream_per_pair(cluster) -> bool:
    members = [node.member for node in cluster.nodes.values()]
    first, second = ({m.failure_domain for m in members if m.region == r} for r in ("r0", "r1"))
    pairs = {(left, right) for left in first for right in second}
    return cluster.streams() == dict.fromkeys(pairs, 1)


async def converges(cluster, limit_s) -> bool:
    await wait_until(lambda: cluster.converged() and has_one_stream_per_pair(cluster), limit_s)
    return cluster.converged() and has_one_stream_per_pair(cluster)


async def test_entries_discover_each_other_and_publish_their_agent_addresses():
    async with Cluster() as cluster:
        assert cluster.converged()
        assert has_one_stream_per_pair(cluster)
        for node in cluster.nodes.values():
            addresses = [n.member.agent_address for n in cluster.nodes.values()]
            addresses = [address for address in addresses if address[:2] == node.member.region]
            assert node.fake.entries == tuple(sorted(addresses))


async def test_bytes_between_regions_are_counted_at_both_ends():
    async with Cluster(domains=1, entries=2) as cluster:
        ends = {"r0": [0, 0], "r1": [0, 0]}
        for node in cluster.nodes.values():
            other = "r1" if node.member.region == "r0" else "r0"
            for link in node.service.sessions:
                node.service.traffic.sample(link)
            ends[node.member.region][0] += node.service.traffic.sent[other]
            ends[node.member.region][1] += node.service.traffic.received[other]
        assert 0 < ends["r1"][1] <= ends["r0"][0]
        assert 0 < ends["r0"][1] <= ends["r1"][0]


async def test_three_regions_have_one_stream_per_pair():
    async with Cluster(regions=3, domains=1, entries=2) as cluster:
        assert cluster.converged()
        assert sorted(cluster.streams().items()) == [
            (("r0-d0", "r1-d0"), 1),
            (("r0-d0", "r2-d0"), 1),
            (("r1-d0", "r2-d0"), 1),
        ]


async def test_killed_entries_are_detected_and_their_streams_taken_over():
    async with Cluster() as cluster:
        bridges = [n.name for n in cluster.nodes.values() if n.table.streams()]
        for name in bridges[:2] + bridges[-2:]:
            cluster.kill(name)
        assert await converges(cluster, DETECTION_S)


async def test_lost_failure_domain_is_detected_and_rediscovered():
    async with Cluster() as cluster:
        killed = [cluster.kill(f"r1-d2-e{number}") for number in range(3)]
        await asyncio.sleep(DETECTION_S)
        assert cluster.converged()
        for node in killed:
            await cluster.start("r1", "r1-d2", node.name)
        assert await converges(cluster, DETECTION_S)


@pytest.mark.parametrize("pair", [("r0-d0-e0", "r0-d1-e1"), ("r0-d1-e1", "r0-d0-e0")])
async def test_silent_link_between_live_entries_is_replaced(pair):
    async with Cluster(regions=1) as cluster:
        source, target = (cluster.nodes[name] for name in pair)
        link = source.table.links[target.name]
        cluster.fabric.silence(*pair)
        await asyncio.sleep(DETECTION_S)
        assert cluster.converged()
        assert source.table.links[target.name] is not link


async def test_restarted_seed_without_live_seeds_is_found_by_the_others():
    async with Cluster() as cluster:
        for name in cluster.seeds:
            cluster.kill(name)
        await asyncio.sleep(DETECTION_S)
        await cluster.start("r0", "r0-d0", cluster.seeds[0])
        assert await converges(cluster, DETECTION_S)


async def test_entry_with_unconfirmed_heartbeats_drops_the_link():
    async with Cluster(regions=1) as cluster:
        receiver, sender = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d2-e1"]
        cluster.fabric.block([sender.name], [receiver.name])
        await asyncio.sleep(LEASE_S - 0.5)
        cluster.fabric.block([receiver.name], [sender.name])
        await asyncio.sleep(2)
        assert receiver.name not in sender.table.links


async def test_cut_in_one_direction_closes_the_link_at_both_ends():
    async with Cluster(regions=1) as cluster:
        receiver, sender = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d2-e1"]
        cluster.fabric.block([sender.name], [receiver.name])
        await asyncio.sleep(DETECTION_S)
        assert sender.name not in receiver.table.links
        assert receiver.name not in sender.table.links
        assert [member.entry_id for member in receiver.table.unlinked_members()] == [sender.name]
        cluster.fabric.heal()
        assert await wait_until(cluster.converged, DETECTION_S) <= LEASE_S


async def test_regions_reconnect_after_an_hour_with_replaced_entries():
    async with Cluster(domains=1, entries=2) as cluster:
        names = list(cluster.nodes)
        cluster.fabric.cut(names[:2], names[2:])
        await asyncio.sleep(HOUR_S / 2)
        cluster.kill("r1-d0-e0")
        await cluster.start("r1", "r1-d0", "r1-d0-e9")
        await cluster.start("r0", "r0-d0", "r0-d0-e9")
        assert not cluster.nodes["r0-d0-e0"].table.remote_members()
        await asyncio.sleep(HOUR_S / 2)
        cluster.fabric.heal()
        assert await wait_until(cluster.converged, DETECTION_S) <= LEASE_S
        assert await converges(cluster, DETECTION_S)


@pytest.mark.parametrize("name", ["r0-d1-e1", "r0-d1-e9"], ids=["same name", "new name"])
async def test_entry_restarted_at_the_same_address_replaces_the_old_one(name):
    async with Cluster() as cluster:
        old = cluster.kill("r0-d1-e1")
        await cluster.start("r0", "r0-d1", name, address="r0-d1-e1")
        assert await converges(cluster, DETECTION_S)
        for node in cluster.nodes.values():
            known = [m for m in node.service.registry.members() if m.peer_address == "r0-d1-e1"]
            assert old.member not in known


async def test_leaving_entry_gets_no_new_work_and_is_removed():
    async with Cluster() as cluster:
        node = next(n for n in cluster.nodes.values() if len(n.table.streams()) > 1)
        await node.service.leave()
        await asyncio.sleep(1)
        del cluster.nodes[node.name]
        assert cluster.converged()
        await node.service.stop()
        assert await converges(cluster, LEASE_S)
        registries = [n.service.registry for n in cluster.nodes.values()]
        assert (
            await wait_until(lambda: not any(r.find(node.name) for r in registries), 9)
            < DETECTION_S
        )


async def test_updates_lost_in_a_short_cut_are_requested_again():
    async with Cluster() as cluster:
        names = list(cluster.nodes)
        links = [*cluster.nodes["r0-d0-e0"].table.links.values()]
        cluster.fabric.cut(names[:12], names[12:])
        load = DomainLoad((ServiceLoad("draws", 2, 16, 5),), 3, 24, 0)
        for node in cluster.nodes.values():
            node.fake.load = {"r1-d1": load} if node.member.region == "r1" else {}
        await asyncio.sleep(LEASE_S / 2)
        cluster.fabric.heal()
        await asyncio.sleep(LEASE_S)
        assert [*cluster.nodes["r0-d0-e0"].table.links.values()] == links
        for node in list(cluster.nodes.values())[:12]:
            domains = node.table.domains.values()
            services = [domain.services for domain in domains if domain.services]
            assert services == [{"draws": load.services[0]}]


async def test_load_of_a_failure_domain_without_entries_is_reported_once():
    async with Cluster(domains=2, entries=2) as cluster:
        load = DomainLoad((ServiceLoad("draws", 1, 8, 8),), 1, 8, 0)
        for node in cluster.nodes.values():
            node.fake.load = {"elsewhere": load}
        await asyncio.sleep(LEASE_S)
        for node in cluster.nodes.values():
            services = [list(domain.services) for domain in node.table.domains.values()]
            assert sorted(services) == [[], ["draws"]]


async def test_log_states_show_the_read_progress_of_peers():
    async with Cluster(regions=1, domains=2, entries=2) as cluster:
        reader, other = cluster.nodes["r0-d0-e0"], cluster.nodes["r0-d1-e1"]
        reader.fake.read_s, reader.fake.token = asyncio.get_running_loop().time(), 41
        await asyncio.sleep(2)
        states = {state.entry_id: state for state in other.table.log_states()}
        assert len(states) == 3
        assert 2 <= states[reader.name].read_age_s + 0.01 <= 2.1
        assert states[reader.name].highest_token == 41
        assert states["r0-d0-e1"].read_age_s is None
